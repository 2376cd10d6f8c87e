package stored

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"go.etcd.io/bbolt"
)

// The format of a write-ahead log record, repeated here so that a change in package
// wal is detected: length of the payload (4 bytes), CRC-32C of everything but the
// checksum (4), sequence (8), newest synced sequence (8), type (1), end of batch (1),
// payload. Numbers are big-endian.
const (
	walLengthSize   = 4
	walHeaderSize   = 26
	walTypeSegment  = 1
	replicaIDDigits = 16
)

// describeLog returns each record of each segment in a folder as a line of text. The
// replica id is replaced by zeros, because it is random.
func describeLog(t *testing.T, directory string) string {
	t.Helper()
	names, err := filepath.Glob(filepath.Join(directory, "log-*.wal"))
	if err != nil {
		t.Fatal(err)
	}
	slices.Sort(names)
	var text strings.Builder
	for _, name := range names {
		content, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&text, "%s, %d bytes\n", filepath.Base(name), len(content))
		describeSegment(t, &text, content)
	}
	return text.String()
}

func describeSegment(t *testing.T, text *strings.Builder, content []byte) {
	t.Helper()
	for len(content) >= walHeaderSize && binary.BigEndian.Uint32(content[walLengthSize:]) != 0 {
		size := walHeaderSize + int(binary.BigEndian.Uint32(content))
		if size > len(content) {
			t.Fatalf("got a record of %d bytes, want one that ends within the segment", size)
		}
		record := content[:size]
		table := crc32.MakeTable(crc32.Castagnoli)
		sum := crc32.Update(crc32.Checksum(record[:walLengthSize], table), table, record[2*walLengthSize:])
		if want := binary.BigEndian.Uint32(record[walLengthSize:]); sum != want {
			t.Fatalf("record checksum: computed %08x, stored %08x", sum, want)
		}
		payload := record[walHeaderSize:]
		if record[24] == walTypeSegment {
			payload = withoutReplicaID(t, payload)
		}
		fmt.Fprintf(text, "%d synced %d type %d end %d: %s\n",
			binary.BigEndian.Uint64(record[8:]), binary.BigEndian.Uint64(record[16:]), record[24], record[25], hexOrDigest(payload))
		content = content[size:]
	}
	if len(bytes.Trim(content, "\x00")) > 0 {
		t.Fatal("got other bytes than zeros after the last record, want only zeros")
	}
}

// withoutReplicaID returns the header of a segment with the replica id replaced by
// zeros. The header is a CBOR map; the id is the value of its first key, 1, and a text
// of 16 bytes.
func withoutReplicaID(t *testing.T, payload []byte) []byte {
	t.Helper()
	masked := bytes.Clone(payload)
	if len(masked) < 3+replicaIDDigits || masked[1] != 0x01 || masked[2] != 0x60+replicaIDDigits {
		t.Fatalf("got segment header %x, want a map with the replica id under its first key", payload)
	}
	copy(masked[3:], strings.Repeat("0", replicaIDDigits))
	return masked
}

// describeArchive returns every key and value of the archive in a folder as text.
func describeArchive(t *testing.T, directory string) string {
	t.Helper()
	db, err := bbolt.Open(filepath.Join(directory, "archive.db"), 0o600, &bbolt.Options{ReadOnly: true})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = db.Close() }()
	var text strings.Builder
	err = db.View(func(tx *bbolt.Tx) error {
		return tx.ForEach(func(name []byte, bucket *bbolt.Bucket) error {
			fmt.Fprintf(&text, "bucket %s\n", name)
			return bucket.ForEach(func(key, value []byte) error {
				fmt.Fprintf(&text, "%x = %x\n", key, value)
				return nil
			})
		})
	})
	if err != nil {
		t.Fatal(err)
	}
	return text.String()
}

// describeFolder returns the content of a data folder as text: file names, log,
// snapshot file and archive.
func describeFolder(t *testing.T, directory string) string {
	t.Helper()
	snapshot, err := os.ReadFile(filepath.Join(directory, "snapshot"))
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("files %s\n%ssnapshot %x\n%s", fileNames(t, directory), describeLog(t, directory), snapshot, describeArchive(t, directory))
}
