package peer

import (
	"bytes"
	"testing"

	"savorystep"
)

// FuzzDecodeFrame guards against frames that crash the decoder, and against
// accepted frames that change when they are encoded again.
func FuzzDecodeFrame(f *testing.F) {
	seeds := []frame{
		{Hello: &helloFrame{Version: protocolVersion, Instance: savorystep.Instance{ID: "a"}, SecretHash: []byte{1}}},
		{Facts: &factsFrame{Names: []string{"a", "b"}, Facts: []wireFact{{Instance: 1, Sequence: 1, Kind: 3, Subject: 2, AgeSeconds: 1, Body: []byte{0xa0}}}}},
		{Facts: &factsFrame{Vector: &revisionVector{Revision: 3, GroupCount: 1, Groups: []vectorGroup{{Checksum: 1, Bits: []byte{7}}}}}},
		{Facts: &factsFrame{Digest: make([]byte, digestSize), Summary: &summary{Buckets: []uint8{1}, Entries: []summaryEntry{{KeyHash: 1, Sequence: 2}}}}},
		{Ack: &ackFrame{AckID: 1}},
		{ChangesRequest: &changesRequestFrame{RequestID: 1, After: 2, Limit: 3}},
		{ChangesResponse: &changesResponseFrame{RequestID: 1, Changes: []savorystep.Change{{Revision: 1, ID: "x", Record: &savorystep.Record{Service: "s"}}}}},
	}
	for _, seed := range seeds {
		data, err := frameCodec.Encode(seed)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		decoded, err := decodeFrame(data)
		if err != nil {
			return
		}
		firstEncoding, err := frameCodec.Encode(decoded)
		if err != nil {
			t.Fatal(err)
		}
		redecoded, err := decodeFrame(firstEncoding)
		if err != nil {
			t.Fatal(err)
		}
		secondEncoding, err := frameCodec.Encode(redecoded)
		if err != nil || !bytes.Equal(firstEncoding, secondEncoding) {
			t.Fatalf("frame changes when encoded again: %v", err)
		}
	})
}

// TestCodecLimit guards against values above the size limit in either
// direction, and against invalid encodings.
func TestCodecLimit(t *testing.T) {
	c := Codec[[]byte]{Limit: 10}
	if _, err := c.Encode(make([]byte, 10)); savorystep.KindOf(err) != savorystep.KindTooLarge {
		t.Errorf("Encode above the limit: %v, want KindTooLarge", err)
	}
	if _, err := c.Decode(make([]byte, 11)); savorystep.KindOf(err) != savorystep.KindTooLarge {
		t.Errorf("Decode above the limit: %v, want KindTooLarge", err)
	}
	cases := []struct {
		name string
		data []byte
	}{
		{name: "duplicate key", data: []byte{0xa2, 0x01, 0x01, 0x01, 0x01}},
		{name: "empty", data: nil},
		{name: "indefinite length", data: []byte{0xbf, 0x01, 0x01, 0xff}},
		{name: "tag", data: []byte{0xa1, 0x01, 0xc2, 0x41, 0x01}},
		{name: "trailing bytes", data: []byte{0xa1, 0x01, 0x01, 0x00}},
		{name: "unknown field", data: []byte{0xa1, 0x09, 0x01}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			if _, err := revisionCodec.Decode(test.data); savorystep.KindOf(err) != savorystep.KindBadRequest {
				t.Errorf("Decode: %v, want KindBadRequest", err)
			}
		})
	}
}
