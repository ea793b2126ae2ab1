package messenger

import "sync"

// encoded is the encoding of a part of the state, which many members get: it is made once.
// The part must not change after it was first sent.
type encoded struct {
	once sync.Once
	data []byte
	err  error
}

// bytes returns the encoding of the fields of the part.
func (e *encoded) bytes(fields any) ([]byte, error) {
	e.once.Do(func() { e.data, e.err = encMode.Marshal(fields) })
	return e.data, e.err
}
