package news

import (
	"bytes"
	"compress/flate"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"bilberrymux/core/ident"
)

func TestPackedPayloadsAreReadAsTheyWere(t *testing.T) {
	sent := &Payload{
		Config:  []byte(strings.Repeat("route", 1000)),
		Changes: &Changes{BaseRevision: 3, Revision: 9, Servers: map[string][]byte{"s": []byte("{}")}, Removed: []string{"r"}},
	}
	packed, err := Pack(sent)
	if err != nil {
		t.Fatal(err)
	}
	if len(packed) > 500 {
		t.Errorf("packed %d bytes of text into %d bytes, want at most 500", len(sent.Config), len(packed))
	}
	got, err := Unpack(packed)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(sent, got); diff != "" {
		t.Errorf("payload (-sent +got):\n%s", diff)
	}
}

func TestMalformedPayloadsTakeBoundedMemory(t *testing.T) {
	var endless bytes.Buffer
	w, err := flate.NewWriter(&endless, flate.BestSpeed)
	if err != nil {
		t.Fatal(err)
	}
	zeros := make([]byte, 1<<20)
	for range maxPayloadBytes/len(zeros) + 2 {
		if _, err := w.Write(zeros); err != nil {
			t.Fatal(err)
		}
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	for name, packed := range map[string][]byte{"empty": {}, "noise": []byte("noise"), "large": endless.Bytes()} {
		if _, err := Unpack(packed); err == nil {
			t.Errorf("%s: got no error", name)
		}
	}
}

func TestPackerPacksEachPayloadOnce(t *testing.T) {
	p, calls := NewPacker(), 0
	pack := func(revision uint64) {
		t.Helper()
		if _, err := p.Pack(PayloadKey{Revision: ident.StoreVersion{Number: revision}}, func() *Payload { calls++; return &Payload{} }); err != nil {
			t.Fatal(err)
		}
	}
	for range 3 {
		pack(1)
	}
	if calls != 1 {
		t.Errorf("calls for the payload of one key: got %d, want 1", calls)
	}
	for revision := range uint64(3 * maxPackedPayloads) {
		pack(revision + 2)
	}
	if got := len(p.packed); got != maxPackedPayloads {
		t.Errorf("kept payloads: got %d, want %d", got, maxPackedPayloads)
	}
}
