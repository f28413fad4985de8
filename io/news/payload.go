package news

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"bilberrymux/core/ident"
)

// Payload is the data that daemons pass on to each other: a configuration, changes of the list of
// servers, or both. It is sent compressed.
type Payload struct {
	// Config is the encoded configuration, or empty.
	Config []byte `cbor:"1,keyasint,omitempty"`
	// Changes may be nil.
	Changes *Changes `cbor:"2,keyasint,omitempty"`
}

// maxPayloadBytes is the maximum size of a payload that is decompressed. It bounds the memory that a
// malformed message can take.
const maxPayloadBytes = 8 << 20

// Pack encodes and compresses a payload.
func Pack(p *Payload) ([]byte, error) {
	body, err := cbor.Marshal(p)
	if err != nil {
		return nil, fmt.Errorf("news: payload: %w", err)
	}
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("news: payload: %w", err)
	}
	if _, err := w.Write(body); err != nil {
		return nil, fmt.Errorf("news: payload: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("news: payload: %w", err)
	}
	return packed.Bytes(), nil
}

// Unpack returns the payload that Pack has encoded.
func Unpack(packed []byte) (*Payload, error) {
	r := flate.NewReader(bytes.NewReader(packed))
	body, err := io.ReadAll(io.LimitReader(r, maxPayloadBytes+1))
	if err != nil {
		return nil, fmt.Errorf("news: payload: %w", err)
	}
	if len(body) > maxPayloadBytes {
		return nil, fmt.Errorf("news: payload of more than %d bytes", maxPayloadBytes)
	}
	var p Payload
	if err := cbor.Unmarshal(body, &p); err != nil {
		return nil, fmt.Errorf("news: payload: %w", err)
	}
	return &p, nil
}

// PayloadKey names the content of a payload: the version of its configuration, and the store versions of its
// changes. A part that the payload lacks is zero.
type PayloadKey struct {
	Version        ident.Version
	Base, Revision ident.StoreVersion
}

// maxPackedPayloads is the number of payloads that Packer keeps.
const maxPackedPayloads = 8

// Packer packs payloads and keeps the newest ones, since many peers need the same. It is safe for
// concurrent use.
type Packer struct {
	mu     sync.Mutex
	keys   []PayloadKey
	packed map[PayloadKey][]byte
}

// NewPacker returns a Packer without payloads.
func NewPacker() *Packer {
	return &Packer{packed: map[PayloadKey][]byte{}}
}

// Pack returns the packed payload of a key, which payload returns if it isn't kept. The lock of the Packer
// is held during the call.
func (p *Packer) Pack(key PayloadKey, payload func() *Payload) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if packed, ok := p.packed[key]; ok {
		return packed, nil
	}
	packed, err := Pack(payload())
	if err != nil {
		return nil, err
	}
	if len(p.keys) == maxPackedPayloads {
		delete(p.packed, p.keys[0])
		p.keys = p.keys[1:]
	}
	p.keys, p.packed[key] = append(p.keys, key), packed
	return packed, nil
}
