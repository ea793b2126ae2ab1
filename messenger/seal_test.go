package messenger

import (
	"bytes"
	"testing"

	"github.com/matryer/is"
)

// TestManifestWithKeysIsSealed guards against API keys that travel between processes in the
// clear, and against a manifest without customers that travels otherwise than before.
func TestManifestWithKeysIsSealed(t *testing.T) {
	is := is.New(t)
	manifest := []byte(`{"tenants":{"rows":[["a",["secret-1"]]]}}`)
	m := &Message{Call: 3, State: &State{Versions: Versions{Manifest: 7}, Manifest: manifest, Secret: true}}
	out, err := m.sealed("token of b")
	is.NoErr(err)
	frame, err := encodeFrame(out)
	is.NoErr(err)
	is.True(!bytes.Contains(frame, []byte("secret-1")))
	is.Equal(m.State.Manifest, manifest) // the message may be sent to others

	got, err := readFrame(bytes.NewReader(frame))
	is.NoErr(err)
	is.True(got.unseal("token of c") != nil)
	is.NoErr(got.unseal("token of b"))
	is.Equal(got.State.Manifest, manifest)
	is.True(got.State.Secret)

	got.State.SealedManifest = []byte("short")
	is.True(got.unseal("token of b") != nil)

	m.State.Secret = false
	out, err = m.sealed("token of b")
	is.NoErr(err)
	is.Equal(out, m)
}
