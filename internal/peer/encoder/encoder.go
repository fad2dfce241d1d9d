// Package encoder defines the protobuf messages between entry VMs, and writes and reads
// them on a stream, each preceded by its length. The generated file wire.pb.go is
// committed with its source wire.proto, so that a build needs no generator.
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

// MaxMessageBytes is the maximum size of a message. A document that a peer pulls has up
// to five sections of 1 MiB each.
const MaxMessageBytes = 6 << 20

// MaxChunkBytes is the maximum part of a response body that one message carries.
const MaxChunkBytes = 32 << 10

// Write writes one message, preceded by its length.
func Write(w io.Writer, m proto.Message) error {
	var frame bytes.Buffer
	if _, err := protodelim.MarshalTo(&frame, m); err != nil {
		return errors.Wrap(err, "encoding a message")
	}
	// A write is one yamux frame, so the length and the message are written together.
	_, err := w.Write(frame.Bytes())
	return errors.Wrap(err, "writing a message")
}

// Read reads one message. It returns io.EOF itself if the stream ended before the message
// began.
func Read(r *bufio.Reader, m proto.Message) error {
	return ReadMax(r, m, MaxMessageBytes)
}

// ReadMax is Read with another maximum size than MaxMessageBytes. A message of that size is
// allocated before its bytes arrive.
func ReadMax(r *bufio.Reader, m proto.Message, maxBytes int64) error {
	err := protodelim.UnmarshalOptions{MaxSize: maxBytes}.UnmarshalFrom(r, m)
	if errors.Is(err, io.EOF) {
		return io.EOF
	}
	return errors.Wrap(err, "reading a message")
}
