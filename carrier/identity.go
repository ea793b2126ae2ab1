package carrier

import (
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"fmt"
	"math/big"
	"time"

	"pimentorelay.example/pimento"
)

// protocol is the ALPN name of the wire between processes.
const protocol = "pimento/1"

// certLife is how long a process's certificate is valid. It is pinned by its
// hash, so this bounds nothing but the process's own life.
const certLife = 10 * 365 * 24 * time.Hour

// Identity is the key and certificate of one process, made when it starts.
type Identity struct {
	ID       pimento.ProcessID
	CertHash []byte
	cert     tls.Certificate
}

// NewIdentity makes a key pair and a certificate that names the process.
func NewIdentity(id pimento.ProcessID) (*Identity, error) {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("carrier.NewIdentity: %w", err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		Subject:      pkix.Name{CommonName: string(id)},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(certLife),
		KeyUsage:     x509.KeyUsageDigitalSignature,
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, template, public, private)
	if err != nil {
		return nil, fmt.Errorf("carrier.NewIdentity: %w", err)
	}
	sum := sha256.Sum256(raw)
	return &Identity{ID: id, CertHash: sum[:], cert: tls.Certificate{Certificate: [][]byte{raw}, PrivateKey: private}}, nil
}

// Directory finds registered processes.
type Directory interface {
	// Process returns a registered process, from memory or from the platform.
	Process(ctx context.Context, id pimento.ProcessID) (pimento.Process, error)
}

// PeerError says that a peer is not who it has to be.
type PeerError struct {
	Peer   pimento.ProcessID
	Detail string
}

// Error names the peer and what is wrong with it.
func (e *PeerError) Error() string { return fmt.Sprintf("peer %q: %s", e.Peer, e.Detail) }

// clientTLS accepts only the certificate of the given process.
func (i *Identity) clientTLS(peer pimento.Process) *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		Certificates:       []tls.Certificate{i.cert},
		NextProtos:         []string{protocol},
		InsecureSkipVerify: true, // the certificate is pinned instead
		VerifyConnection: func(s tls.ConnectionState) error {
			return pinned(s, peer)
		},
	}
}

// serverTLS accepts the certificates of all registered processes.
func (i *Identity) serverTLS(directory Directory) *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{i.cert},
		NextProtos:   []string{protocol},
		ClientAuth:   tls.RequireAnyClientCert,
		VerifyConnection: func(s tls.ConnectionState) error {
			id := peerID(s)
			ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
			defer cancel()
			peer, err := directory.Process(ctx, id)
			if err != nil {
				return &PeerError{Peer: id, Detail: err.Error()}
			}
			return pinned(s, peer)
		},
	}
}

// peerID returns the process ID that a certificate names.
func peerID(s tls.ConnectionState) pimento.ProcessID {
	if len(s.PeerCertificates) == 0 {
		return ""
	}
	return pimento.ProcessID(s.PeerCertificates[0].Subject.CommonName)
}

func pinned(s tls.ConnectionState, peer pimento.Process) error {
	if len(s.PeerCertificates) != 1 {
		return &PeerError{Peer: peer.ID, Detail: "sent no single certificate"}
	}
	sum := sha256.Sum256(s.PeerCertificates[0].Raw)
	if peerID(s) != peer.ID || subtle.ConstantTimeCompare(sum[:], peer.CertHash) != 1 {
		return &PeerError{Peer: peer.ID, Detail: "certificate is not the registered one"}
	}
	return nil
}
