package edge

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"

	"github.com/google/go-cmp/cmp"

	"bilberrymux/core/bytebudget"
)

// TestBodiesStayWithinBudget guards against bodies that hold more memory than all may, or that are not read as sent.
func TestBodiesStayWithinBudget(t *testing.T) {
	const limit = 4 << 20
	broken := errors.New("broken")
	for _, test := range []struct {
		name         string
		size, length int
		budget       int64
		err          error
	}{
		{"empty", 0, 0, 0, nil},
		{"empty in chunks", 0, -1, 0, nil},
		{"small", 100, 100, 0, nil},
		{"small in chunks", 100, -1, 0, nil},
		{"small, just free", freeBodyBytes, freeBodyBytes, 0, nil},
		{"larger than free", freeBodyBytes + 1, freeBodyBytes + 1, 0, errBodyBudget},
		{"large", 3 << 20, 3 << 20, 3 << 20, nil},
		{"large in chunks", 3 << 20, -1, limit, nil},
		{"as large as the limit", limit, limit, limit, nil},
		{"as large as the limit in chunks", limit, -1, limit, nil},
		{"beyond the budget", 3 << 20, 3 << 20, 2 << 20, errBodyBudget},
		{"beyond the budget in chunks", 3 << 20, -1, 2 << 20, errBodyBudget},
		{"announced as too large", 0, limit + 1, limit, errBodyTooLarge},
		{"too large in chunks", limit + 1, -1, 2 * limit, errBodyTooLarge},
		{"ends early", 2 << 20, 3 << 20, limit, io.ErrUnexpectedEOF},
		{"ends early, small", 10, 11, 0, io.ErrUnexpectedEOF},
		{"broken off", 2 << 20, 3 << 20, limit, broken},
	} {
		t.Run(test.name, func(t *testing.T) {
			sent := bytes.Repeat([]byte("abc"), test.size/3+1)[:test.size]
			var r io.Reader = bytes.NewReader(sent)
			if test.err == broken {
				r = io.MultiReader(r, iotest.ErrReader(broken))
			}
			budget := bytebudget.New(test.budget)
			b := newRequestBody(budget)
			if err := b.read(r, test.length, limit); !errors.Is(err, test.err) {
				t.Fatalf("got error %v, want %v", err, test.err)
			}
			if test.err == nil && !bytes.Equal(b.Bytes, sent) {
				t.Errorf("got %d bytes, want the %d that were sent", len(b.Bytes), len(sent))
			}
			if held := budget.Held(); held > test.budget || int64(cap(b.Bytes)) > held+freeBodyBytes {
				t.Errorf("holds %d bytes of the budget for a buffer of %d, the budget has %d", held, cap(b.Bytes), test.budget)
			}
			b.Release()
			b.Release()
			if diff := cmp.Diff(int64(0), budget.Held()); diff != "" {
				t.Errorf("held after release (-want +got):\n%s", diff)
			}
		})
	}
}
