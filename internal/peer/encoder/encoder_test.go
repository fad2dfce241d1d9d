package encoder_test

import (
	"bufio"
	"bytes"
	"io"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/peer/encoder"
)

func TestReadWrite(t *testing.T) {
	t.Parallel()
	var b bytes.Buffer
	for _, s := range []string{"a", "", "desk"} {
		assert.NilError(t, encoder.Write(&b, &encoder.Call{Service: s}))
	}
	r := bufio.NewReader(&b)
	for _, s := range []string{"a", "", "desk"} {
		got := &encoder.Call{}
		assert.NilError(t, encoder.Read(r, got))
		assert.Equal(t, got.GetService(), s)
	}
	assert.ErrorIs(t, encoder.Read(r, &encoder.Call{}), io.EOF)
}

func TestReadRejectsTooLargeMessage(t *testing.T) {
	t.Parallel()
	r := bufio.NewReader(bytes.NewReader([]byte{0xff, 0xff, 0xff, 0xff, 0x7f}))
	assert.ErrorContains(t, encoder.Read(r, &encoder.Call{}), "reading a message")
}

func FuzzRead(f *testing.F) {
	var b bytes.Buffer
	assert.NilError(f, encoder.Write(&b, &encoder.Request{Kind: &encoder.Request_Call{Call: &encoder.Call{Service: "desk"}}}))
	f.Add(b.Bytes())
	f.Add([]byte{})
	f.Add([]byte{5, 1})
	f.Fuzz(func(_ *testing.T, raw []byte) {
		r := bufio.NewReader(bytes.NewReader(raw))
		for range 10 {
			if encoder.Read(r, &encoder.Request{}) != nil {
				return
			}
		}
	})
}
