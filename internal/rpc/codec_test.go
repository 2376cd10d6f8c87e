package rpc

import (
	"bytes"
	"testing"

	"github.com/decklever/decklever/internal/protocol"
)

func TestCodec_UnknownFieldsAreIgnored(t *testing.T) {
	type newer struct {
		ID    string `cbor:"1,keyasint"`
		Added []int  `cbor:"99,keyasint"`
	}
	encoded, err := newCodec().encode(newer{ID: "j", Added: []int{1, 2}})
	if err != nil {
		t.Fatal(err)
	}
	var older protocol.CancelRequest
	if err := newCodec().decode(encoded, &older); err != nil || older.ID != "j" {
		t.Fatalf("got %+v, error %v; want ID \"j\", no error", older, err)
	}
}

func TestCodec_EncodingIsDeterministic(t *testing.T) {
	labels := map[string]int{"b": 1, "a": 2, "ccc": 3, "dd": 4}
	first, err := newCodec().encode(labels)
	if err != nil {
		t.Fatal(err)
	}
	for range 20 {
		again, err := newCodec().encode(labels)
		if err != nil || !bytes.Equal(first, again) {
			t.Fatalf("got %x first and %x again, error %v; want equal encodings", first, again, err)
		}
	}
}

func TestCodec_MalformedBodiesAreRejected(t *testing.T) {
	nested := append(bytes.Repeat([]byte{0x81}, maxNestedLevels+1), 0x00)
	for name, body := range map[string][]byte{
		"empty":             {},
		"truncated":         {0xa1, 0x01},
		"trailing":          {0xa0, 0xa0},
		"nested too deep":   nested,
		"array too long":    {0x9a, 0xff, 0xff, 0xff, 0xff},
		"map too long":      {0xba, 0xff, 0xff, 0xff, 0xff},
		"indefinite length": {0xbf, 0xff},
		"key twice":         {0xa2, 0x01, 0x61, 0x61, 0x01, 0x61, 0x62},
	} {
		var request protocol.CancelRequest
		if err := newCodec().decode(body, &request); err == nil {
			t.Errorf("%s: got %+v, want an error", name, request)
		}
	}
}

// FuzzDecode checks that no body makes the decoder panic, and that a decoded heartbeat keeps
// its encoding when it is encoded, decoded and encoded again.
func FuzzDecode(f *testing.F) {
	codec := newCodec()
	for _, seed := range []any{protocol.HeartbeatRequest{Agent: "a"}, protocol.RaftRequest{}, &Error{Code: CodeNotLeader}} {
		encoded, err := codec.encode(seed)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(encoded)
	}
	f.Add([]byte{0x9a, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, body []byte) {
		var raft protocol.RaftRequest
		_ = codec.decode(body, &raft)
		var failure Error
		_ = codec.decode(body, &failure)
		var heartbeat, again protocol.HeartbeatRequest
		if codec.decode(body, &heartbeat) != nil {
			return
		}
		first, err := codec.encode(heartbeat)
		if err != nil {
			t.Fatalf("encode a decoded heartbeat: %v", err)
		}
		if err := codec.decode(first, &again); err != nil {
			t.Fatalf("decode an encoded heartbeat: %v", err)
		}
		second, err := codec.encode(again)
		if err != nil || !bytes.Equal(first, second) {
			t.Fatalf("got %x first and %x again, error %v; want equal encodings", first, second, err)
		}
	})
}
