// Package encoder holds the messages between entry VMs and frames them on a
// stream, each with its length before it. Wire.pb.go is generated from
// wire.proto and committed, so that a build needs no generator.
//
// # Usage
//
//	err := encoder.Write(stream, &encoder.Request{Kind: &encoder.Request_Pull{Pull: &encoder.Pull{}}})
//	reply := &encoder.Reply{}
//	err = encoder.Read(bufio.NewReader(stream), reply)
package encoder

import (
	"bufio"
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

// MaxMessageBytes bounds one message. A pulled document has up to five
// sections of a megabyte each.
const MaxMessageBytes = 6 << 20

// MaxChunkBytes is the largest part of an answer sent as one message.
const MaxChunkBytes = 32 << 10

// Write sends one message.
func Write(w io.Writer, m proto.Message) error {
	var frame bytes.Buffer
	if _, err := protodelim.MarshalTo(&frame, m); err != nil {
		return errors.Wrap(err, "encoding a message")
	}
	// One write is one yamux frame; length and message apart would be two.
	_, err := w.Write(frame.Bytes())
	return errors.Wrap(err, "writing a message")
}

// Read receives one message. It returns io.EOF alone when the stream ended
// before the message began.
func Read(r *bufio.Reader, m proto.Message) error {
	err := protodelim.UnmarshalOptions{MaxSize: MaxMessageBytes}.UnmarshalFrom(r, m)
	if errors.Is(err, io.EOF) {
		return io.EOF
	}
	return errors.Wrap(err, "reading a message")
}
