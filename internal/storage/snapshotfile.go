package storage

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"path/filepath"

	"github.com/fxamacker/cbor/v2"

	"github.com/decklever/decklever/internal/raft"
	"github.com/decklever/decklever/internal/storage/datafile"
)

// A snapshot file consists of: magic, length of the meta (4 bytes), CRC-32C of the
// meta (4), the meta in CBOR, the data, length of the data (8), CRC-32C of the data
// (4). Numbers are big-endian.
const (
	snapshotFile       = "snapshot"
	snapshotMagic      = "DLSNAP01"
	snapshotHeaderSize = len(snapshotMagic) + 4 + datafile.ChecksumSize
	snapshotTailSize   = 8 + datafile.ChecksumSize
	temporarySuffix    = ".tmp"
)

// writeSnapshotFile replaces the snapshot file atomically: the new file is synced
// under a temporary name before it is renamed.
func writeSnapshotFile(files datafile.FileSystem, directory string, meta raft.SnapshotMeta, write func(io.Writer) error) (err error) {
	target := filepath.Join(directory, snapshotFile)
	file, err := files.Create(target + temporarySuffix)
	if err != nil {
		return fmt.Errorf("create snapshot: %w", err)
	}
	defer func() {
		if err != nil {
			_ = file.Close()
			_ = files.Remove(target + temporarySuffix)
		}
	}()
	if err := writeSnapshotTo(io.NewOffsetWriter(file, 0), meta, write); err != nil {
		return fmt.Errorf("write snapshot: %w", err)
	}
	if err := file.Sync(); err != nil {
		return fmt.Errorf("sync snapshot: %w", err)
	}
	if err := file.Close(); err != nil {
		return fmt.Errorf("close snapshot: %w", err)
	}
	if err := files.Rename(target+temporarySuffix, target); err != nil {
		return fmt.Errorf("rename snapshot: %w", err)
	}
	return files.SyncDirectory(directory)
}

// writeSnapshotTo writes the content of a snapshot file.
func writeSnapshotTo(file io.Writer, meta raft.SnapshotMeta, write func(io.Writer) error) error {
	encoded, err := cbor.Marshal(meta)
	if err != nil {
		return err
	}
	buffered := bufio.NewWriterSize(file, 256<<10)
	header := make([]byte, 0, snapshotHeaderSize+len(encoded))
	header = append(header, snapshotMagic...)
	header = binary.BigEndian.AppendUint32(header, uint32(len(encoded)))
	header = binary.BigEndian.AppendUint32(header, datafile.Checksum(encoded))
	header = append(header, encoded...)
	if _, err := buffered.Write(header); err != nil {
		return err
	}
	data := &checksumWriter{target: buffered}
	if err := write(data); err != nil {
		return err
	}
	tail := binary.BigEndian.AppendUint64(nil, data.length)
	tail = binary.BigEndian.AppendUint32(tail, data.sum)
	if _, err := buffered.Write(tail); err != nil {
		return err
	}
	return buffered.Flush()
}

// checksumWriter computes the length and the CRC-32C of the bytes written to target.
type checksumWriter struct {
	target io.Writer
	length uint64
	sum    uint32
}

// Write implements io.Writer.
func (w *checksumWriter) Write(data []byte) (int, error) {
	n, err := w.target.Write(data)
	w.length += uint64(n)
	w.sum = datafile.UpdateChecksum(w.sum, data[:n])
	return n, err
}

// openSnapshotFile opens the snapshot file, which the caller closes, and returns
// its meta and its data section. The data is not verified. The error wraps
// fs.ErrNotExist if there is no snapshot.
func openSnapshotFile(files datafile.FileSystem, directory string) (file datafile.File, meta raft.SnapshotMeta, data *io.SectionReader, err error) {
	path := filepath.Join(directory, snapshotFile)
	file, err = files.Open(path)
	if err != nil {
		return nil, meta, nil, err
	}
	meta, data, err = readSnapshotHeader(path, file)
	if err != nil {
		_ = file.Close()
		return nil, meta, nil, err
	}
	return file, meta, data, nil
}

// readSnapshotHeader reads and verifies the header and the meta, and returns the
// data section, whose checksum it does not verify.
func readSnapshotHeader(name string, file datafile.File) (meta raft.SnapshotMeta, data *io.SectionReader, err error) {
	size, err := file.Size()
	if err != nil {
		return meta, nil, err
	}
	if size < int64(snapshotHeaderSize+snapshotTailSize) {
		return meta, nil, datafile.NewCorruptError(name, "only %d bytes long", size)
	}
	header := make([]byte, snapshotHeaderSize)
	if _, err := file.ReadAt(header, 0); err != nil {
		return meta, nil, err
	}
	if string(header[:len(snapshotMagic)]) != snapshotMagic {
		return meta, nil, datafile.NewCorruptError(name, "starts with %q, expected %q", header[:len(snapshotMagic)], snapshotMagic)
	}
	metaLength := int64(binary.BigEndian.Uint32(header[len(snapshotMagic):]))
	dataStart := int64(snapshotHeaderSize) + metaLength
	dataLength := size - dataStart - int64(snapshotTailSize)
	if dataLength < 0 {
		return meta, nil, datafile.NewCorruptError(name, "meta of %d bytes does not fit in %d", metaLength, size)
	}
	encoded := make([]byte, metaLength)
	if _, err := file.ReadAt(encoded, int64(snapshotHeaderSize)); err != nil {
		return meta, nil, err
	}
	want := binary.BigEndian.Uint32(header[len(snapshotMagic)+4:])
	if got := datafile.Checksum(encoded); got != want {
		return meta, nil, datafile.NewCorruptError(name, "meta has checksum %08x, expected %08x", got, want)
	}
	if err := cbor.Unmarshal(encoded, &meta); err != nil {
		return meta, nil, datafile.NewCorruptError(name, "meta: %v", err)
	}
	return meta, io.NewSectionReader(file, dataStart, dataLength), nil
}

// readSnapshotFile reads and verifies the complete snapshot file; ok is false if
// there is none.
func readSnapshotFile(files datafile.FileSystem, directory string) (meta raft.SnapshotMeta, content []byte, ok bool, err error) {
	path := filepath.Join(directory, snapshotFile)
	file, meta, data, err := openSnapshotFile(files, directory)
	if errors.Is(err, fs.ErrNotExist) {
		return meta, nil, false, nil
	}
	if err != nil {
		return meta, nil, false, err
	}
	defer func() { _ = file.Close() }()
	content = make([]byte, data.Size())
	if _, err := io.ReadFull(data, content); err != nil {
		return meta, nil, false, fmt.Errorf("read snapshot: %w", err)
	}
	_, dataStart, dataLength := data.Outer()
	tail := make([]byte, snapshotTailSize)
	if _, err := file.ReadAt(tail, dataStart+dataLength); err != nil {
		return meta, nil, false, fmt.Errorf("read snapshot: %w", err)
	}
	if length := binary.BigEndian.Uint64(tail); length != uint64(dataLength) {
		return meta, nil, false, datafile.NewCorruptError(path, "data is %d bytes, expected %d", dataLength, length)
	}
	want := binary.BigEndian.Uint32(tail[8:])
	if got := datafile.Checksum(content); got != want {
		return meta, nil, false, datafile.NewCorruptError(path, "data has checksum %08x, expected %08x", got, want)
	}
	return meta, content, true, nil
}
