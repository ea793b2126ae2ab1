package messenger

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/rand"
	"crypto/sha256"
	"errors"
	"fmt"
)

// sealContext separates the keys that seal manifests from other uses of a token.
const sealContext = "pimentorelay manifest\x00"

// errSeal means that a sealed manifest is not for this process, or was changed.
var errSeal = errors.New("a sealed manifest that cannot be opened")

// newSeal returns the cipher for what is sent to the process with a token. Only processes
// that can read the store know it, and these can read the manifest there.
func newSeal(token string) (cipher.AEAD, error) {
	key := sha256.Sum256([]byte(sealContext + token))
	block, err := aes.NewCipher(key[:])
	if err != nil {
		return nil, err
	}
	return cipher.NewGCM(block)
}

// sealed returns a message as it is sent to the process with a token: a manifest with API
// keys is encrypted.
func (m *Message) sealed(token string) (*Message, error) {
	if m.State == nil || !m.State.Secret || m.State.Manifest == nil {
		return m, nil
	}
	seal, err := newSeal(token)
	if err != nil {
		return nil, fmt.Errorf("Message.sealed: %w", err)
	}
	nonce := make([]byte, seal.NonceSize(), seal.NonceSize()+len(m.State.Manifest)+seal.Overhead())
	if _, err := rand.Read(nonce); err != nil {
		return nil, fmt.Errorf("Message.sealed: %w", err)
	}
	out, state := *m, *m.State
	state.SealedManifest, state.Manifest = seal.Seal(nonce, nonce, m.State.Manifest, nil), nil
	out.State = &state
	return &out, nil
}

// unseal decrypts the manifest of a message for the process with a token.
func (m *Message) unseal(token string) error {
	if m.State == nil || m.State.SealedManifest == nil {
		return nil
	}
	seal, err := newSeal(token)
	if err != nil {
		return fmt.Errorf("Message.unseal: %w", err)
	}
	data := m.State.SealedManifest
	if len(data) < seal.NonceSize() {
		return errSeal
	}
	manifest, err := seal.Open(nil, data[:seal.NonceSize()], data[seal.NonceSize():], nil)
	if err != nil {
		return errSeal
	}
	m.State.Manifest, m.State.SealedManifest, m.State.Secret = manifest, nil, true
	return nil
}
