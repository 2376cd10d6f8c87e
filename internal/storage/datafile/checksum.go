package datafile

import "hash/crc32"

// ChecksumSize is the length of a checksum, in bytes.
const ChecksumSize = crc32.Size

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Checksum returns the CRC-32C of data.
func Checksum(data []byte) uint32 { return crc32.Checksum(data, castagnoli) }

// UpdateChecksum extends sum, the checksum of the preceding bytes, by data and
// returns the checksum of both together.
func UpdateChecksum(sum uint32, data []byte) uint32 { return crc32.Update(sum, castagnoli, data) }
