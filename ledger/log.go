package ledger

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"chestnutcleat.example/chestnutcleat/vm"
)

const (
	// headerBytes is the size of a record's header: length and checksum.
	headerBytes = 8
	// segmentBytes is the growth after which a new segment begins.
	segmentBytes = 16 << 20
	// maxRecord bounds one record; a body is at most a few megabytes.
	maxRecord     = 32 << 20
	segmentSuffix = ".log"
)

var checksums = crc32.MakeTable(crc32.Castagnoli)

// diskLog is an append-only log in segments. Only the last segment may end in a torn record.
type diskLog struct {
	folder string
	file   *os.File
	// number is that of the segment being written, first that of the oldest one.
	number, first int
	// size is that of the segment being written, base what it had after it was begun.
	size, base int64
	buffer     bytes.Buffer
}

// openLog reads all segments and opens the last one for writing.
func openLog(folder string, apply func(*Record)) (*diskLog, error) {
	numbers, err := segments(folder)
	if err != nil {
		return nil, err
	}
	l := &diskLog{folder: folder, number: 1, first: 1}
	for i, n := range numbers {
		if err := l.read(n, i == len(numbers)-1, apply); err != nil {
			return nil, err
		}
	}
	if len(numbers) > 0 {
		l.first, l.number = numbers[0], numbers[len(numbers)-1]
	}
	return l, l.open()
}

func segments(folder string) ([]int, error) {
	entries, err := os.ReadDir(folder)
	if err != nil {
		return nil, fmt.Errorf("list segments: %w", err)
	}
	var numbers []int
	for _, e := range entries {
		var n int
		if !strings.HasSuffix(e.Name(), segmentSuffix) {
			continue
		}
		if _, err := fmt.Sscanf(e.Name(), "%d"+segmentSuffix, &n); err != nil {
			return nil, fmt.Errorf("file %s in %s is no segment", e.Name(), folder)
		}
		numbers = append(numbers, n)
	}
	slices.Sort(numbers)
	return numbers, nil
}

func (l *diskLog) path(n int) string {
	return filepath.Join(l.folder, fmt.Sprintf("%08d%s", n, segmentSuffix))
}

// read applies the records of a segment and cuts a torn tail off the last one.
func (l *diskLog) read(n int, last bool, apply func(*Record)) error {
	data, err := os.ReadFile(l.path(n))
	if err != nil {
		return fmt.Errorf("read segment: %w", err)
	}
	offset := 0
	for offset < len(data) {
		payload, ok := whole(data[offset:])
		if !ok {
			break
		}
		r, err := vm.Decode[Record](payload)
		if err != nil {
			return fmt.Errorf("segment %s at byte %d: %w", l.path(n), offset, err)
		}
		apply(&r)
		offset += headerBytes + len(payload)
	}
	if offset == len(data) {
		return nil
	}
	if !last {
		return fmt.Errorf("segment %s is damaged at byte %d", l.path(n), offset)
	}
	if err := os.Truncate(l.path(n), int64(offset)); err != nil {
		return fmt.Errorf("cut torn tail: %w", err)
	}
	return nil
}

// whole returns the payload of the first record if it is whole.
func whole(data []byte) ([]byte, bool) {
	if len(data) < headerBytes {
		return nil, false
	}
	size := binary.BigEndian.Uint32(data)
	if size == 0 || size > maxRecord || int(size) > len(data)-headerBytes {
		return nil, false
	}
	payload := data[headerBytes : headerBytes+int(size)]
	return payload, crc32.Checksum(payload, checksums) == binary.BigEndian.Uint32(data[4:])
}

func (l *diskLog) open() error {
	f, err := os.OpenFile(l.path(l.number), os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open segment: %w", err)
	}
	if l.size, err = f.Seek(0, io.SeekEnd); err != nil {
		return errors.Join(fmt.Errorf("open segment: %w", err), f.Close())
	}
	l.file = f
	return syncFolder(l.folder)
}

func syncFolder(folder string) error {
	d, err := os.Open(folder)
	if err != nil {
		return fmt.Errorf("sync folder: %w", err)
	}
	if err := errors.Join(d.Sync(), d.Close()); err != nil {
		return fmt.Errorf("sync folder: %w", err)
	}
	return nil
}

// append writes records and syncs them.
func (l *diskLog) append(list []*Record) error {
	l.buffer.Reset()
	for _, r := range list {
		payload, err := vm.Encode(r)
		if err != nil {
			return err
		}
		var h [headerBytes]byte
		binary.BigEndian.PutUint32(h[:], uint32(len(payload)))
		binary.BigEndian.PutUint32(h[4:], crc32.Checksum(payload, checksums))
		l.buffer.Write(h[:])
		l.buffer.Write(payload)
	}
	n, err := l.file.WriteAt(l.buffer.Bytes(), l.size)
	if err != nil {
		// What was written behind size is overwritten by the next append.
		return fmt.Errorf("write %s at byte %d: %w", l.file.Name(), l.size, err)
	}
	if err := l.file.Sync(); err != nil {
		return fmt.Errorf("sync %s: %w", l.file.Name(), err)
	}
	l.size += int64(n)
	return nil
}

// full reports whether the segment is to be followed by a new one.
func (l *diskLog) full() bool { return l.size >= segmentBytes+2*l.base }

// rewrite begins a new segment with the given records and removes all older ones.
func (l *diskLog) rewrite(list []*Record) error {
	old, first := l.file, l.first
	l.number++
	if err := l.open(); err != nil {
		l.number--
		l.file = old
		return err
	}
	if err := l.append(list); err != nil {
		return err
	}
	l.base = l.size
	if err := old.Close(); err != nil {
		return fmt.Errorf("close segment: %w", err)
	}
	for n := first; n < l.number; n++ {
		if err := os.Remove(l.path(n)); err != nil && !errors.Is(err, os.ErrNotExist) {
			return fmt.Errorf("remove segment: %w", err)
		}
	}
	l.first = l.number
	return syncFolder(l.folder)
}

func (l *diskLog) close() error { return l.file.Close() }
