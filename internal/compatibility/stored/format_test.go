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

// The form of the write-ahead log, written down here once more so that a change
// of the code is seen: length of the payload (4 bytes), CRC-32C of all else (4),
// sequence (8), newest synced sequence (8), type (1), end of batch (1), payload.
const (
	walLengthSize   = 4
	walHeaderSize   = 26
	walTypeSegment  = 1
	replicaIDDigits = 16
)

// describeLog writes each record of each segment of a folder as a line. The id
// of the replica, which is drawn at random, is replaced.
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
			t.Fatalf("a record of %d bytes does not fit", size)
		}
		record := content[:size]
		table := crc32.MakeTable(crc32.Castagnoli)
		sum := crc32.Update(crc32.Checksum(record[:walLengthSize], table), table, record[2*walLengthSize:])
		if want := binary.BigEndian.Uint32(record[walLengthSize:]); sum != want {
			t.Fatalf("a record has checksum %08x, expected %08x", sum, want)
		}
		payload := record[walHeaderSize:]
		if record[24] == walTypeSegment {
			payload = withoutReplicaID(t, payload)
		}
		fmt.Fprintf(text, "%d synced %d type %d end %d: %s\n",
			binary.BigEndian.Uint64(record[8:]), binary.BigEndian.Uint64(record[16:]), record[24], record[25], printable(payload))
		content = content[size:]
	}
	if len(bytes.Trim(content, "\x00")) > 0 {
		t.Fatal("bytes that are no record follow the last one")
	}
}

// withoutReplicaID replaces the id in the header of a segment, which is a CBOR
// map whose first key, 1, has a text of 16 bytes.
func withoutReplicaID(t *testing.T, payload []byte) []byte {
	t.Helper()
	masked := bytes.Clone(payload)
	if len(masked) < 3+replicaIDDigits || masked[1] != 0x01 || masked[2] != 0x60+replicaIDDigits {
		t.Fatalf("a segment header begins with %x", payload)
	}
	copy(masked[3:], strings.Repeat("0", replicaIDDigits))
	return masked
}

// describeArchive writes every key and value of the archive in a folder.
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

// describeFolder is all that is stored in a data folder.
func describeFolder(t *testing.T, directory string) string {
	t.Helper()
	snapshot, err := os.ReadFile(filepath.Join(directory, "snapshot"))
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("files %s\n%ssnapshot %x\n%s", fileNames(t, directory), describeLog(t, directory), snapshot, describeArchive(t, directory))
}
