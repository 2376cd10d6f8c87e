package storage

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"path/filepath"
	"testing"
	"time"

	"go.etcd.io/bbolt"

	"github.com/decklever/decklever/internal/raft"
	"github.com/decklever/decklever/internal/storage/datafile"
	"github.com/decklever/decklever/internal/storage/wal"
)

// simulatedSync is the duration of each sync in BenchmarkLog.
const simulatedSync = 4 * time.Millisecond

// slowFiles is the file system of the operating system with syncs that only wait
// for simulatedSync.
type slowFiles struct{ datafile.OS }

type slowFile struct{ datafile.File }

func (f slowFiles) Create(path string) (datafile.File, error) {
	file, err := f.OS.Create(path)
	return slowFile{file}, err
}

func (f slowFiles) Open(path string) (datafile.File, error) {
	file, err := f.OS.Open(path)
	return slowFile{file}, err
}

func (slowFiles) SyncDirectory(string) error { time.Sleep(simulatedSync); return nil }

func (slowFile) Sync() error { time.Sleep(simulatedSync); return nil }

// BenchmarkLog compares the write-ahead log with the log of earlier versions, which
// used one bbolt transaction for each batch. bbolt syncs twice in a transaction:
// first its pages, then its meta page.
func BenchmarkLog(b *testing.B) {
	for _, batch := range []uint64{1, 16, 256} {
		b.Run(fmt.Sprintf("write-ahead/batch-%d", batch), func(b *testing.B) {
			config := logConfig(slowFiles{}, wal.DefaultSegmentSize)
			config.Directory = b.TempDir()
			requireNoError(b, wal.Create(config, "0123456789abcdef"))
			log, _, err := wal.Open(config)
			requireNoError(b, err)
			defer func() { _ = log.Close() }()
			benchmarkBatches(b, batch, func(newEntries []raft.Entry) error {
				return log.Append(wal.Batch{Entries: newEntries}, true)
			})
		})
		b.Run(fmt.Sprintf("bbolt/batch-%d", batch), func(b *testing.B) {
			db, err := bbolt.Open(filepath.Join(b.TempDir(), earlierLogFile), datafile.FilePermission,
				&bbolt.Options{NoSync: true, FreelistType: bbolt.FreelistMapType, InitialMmapSize: 64 << 20})
			requireNoError(b, err)
			defer func() { _ = db.Close() }()
			benchmarkBatches(b, batch, func(newEntries []raft.Entry) error {
				err := db.Update(func(tx *bbolt.Tx) error { return putEarlierFormat(tx, newEntries) })
				time.Sleep(2 * simulatedSync)
				return err
			})
		})
	}
}

// putEarlierFormat stores a batch as earlier versions did in its transaction.
func putEarlierFormat(tx *bbolt.Tx, newEntries []raft.Entry) error {
	bucket, err := tx.CreateBucketIfNotExists([]byte("log"))
	if err != nil {
		return err
	}
	bucket.FillPercent = 0.95
	for i := range newEntries {
		key := binary.BigEndian.AppendUint64(nil, newEntries[i].Index)
		value := binary.BigEndian.AppendUint64(bytes.Clone(key), newEntries[i].Term)
		value = append(append(value, byte(newEntries[i].Kind)), newEntries[i].Data...)
		if err := bucket.Put(key, addChecksum(key, value)); err != nil {
			return err
		}
	}
	meta, err := tx.CreateBucketIfNotExists([]byte("meta"))
	if err != nil {
		return err
	}
	key := []byte("state")
	stored, err := encodeValue(key, wal.State{LastIndex: newEntries[len(newEntries)-1].Index})
	if err != nil {
		return err
	}
	return meta.Put(key, stored)
}

// benchmarkBatches calls save with batches of entries with 400 bytes of data each, and
// reports the saved entries per second.
func benchmarkBatches(b *testing.B, batch uint64, save func([]raft.Entry) error) {
	b.Helper()
	data := make([]byte, 400)
	next := uint64(1)
	b.ReportAllocs()
	for b.Loop() {
		newEntries := make([]raft.Entry, batch)
		for i := range newEntries {
			newEntries[i] = raft.Entry{Index: next, Term: 1, Data: data}
			next++
		}
		requireNoError(b, save(newEntries))
	}
	b.ReportMetric(float64(next-1)/b.Elapsed().Seconds(), "entries/s")
}
