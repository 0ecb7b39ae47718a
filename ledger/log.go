package ledger

import (
	"bufio"
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
	"sync"

	"chestnutcleat.example/chestnutcleat/vm"
)

const (
	// headerBytes is the size of a record's header: length and checksum.
	headerBytes = 8
	// segmentBytes is the size from which a new segment begins.
	segmentBytes = 8 << 20
	// maxRecord bounds one record; a body is at most a few megabytes.
	maxRecord = 32 << 20
	// readBuffer is the size of the reads while a segment is read as a whole, in bytes.
	readBuffer    = 256 << 10
	segmentSuffix = ".log"
)

var checksums = crc32.MakeTable(crc32.Castagnoli)

// errRemoved reports that a record's segment was removed after its place was looked up.
var errRemoved = errors.New("segment was removed")

// place is where a record lies on the disk.
type place struct {
	segment int
	offset  int64
	// bytes is the size of the record with its header.
	bytes int
}

// segment is one file of the log.
type segment struct {
	number int
	file   *os.File
	size   int64
}

// diskLog is an append-only log in segments. Only the last segment may end in a torn record. One goroutine writes, several
// may read.
type diskLog struct {
	folder string
	buffer bytes.Buffer

	mu sync.RWMutex
	// segments are in the order of their numbers; the last one is written.
	segments []*segment
}

// openLog reads all segments and opens the last one for writing.
func openLog(folder string, apply func(*Record, place)) (*diskLog, error) {
	numbers, err := segmentNumbers(folder)
	if err != nil {
		return nil, err
	}
	l := &diskLog{folder: folder}
	for i, n := range numbers {
		s, err := l.open(n)
		if err != nil {
			return nil, err
		}
		if err := s.load(i == len(numbers)-1, apply); err != nil {
			return nil, err
		}
	}
	if len(numbers) == 0 {
		return l, l.begin()
	}
	return l, nil
}

func segmentNumbers(folder string) ([]int, error) {
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

func segmentPath(folder string, n int) string {
	return filepath.Join(folder, fmt.Sprintf("%08d%s", n, segmentSuffix))
}

// open opens a segment, which is made if there is none, and adds it as the last one.
func (l *diskLog) open(n int) (*segment, error) {
	f, err := os.OpenFile(segmentPath(l.folder, n), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, fmt.Errorf("open segment: %w", err)
	}
	s := &segment{number: n, file: f}
	l.mu.Lock()
	l.segments = append(l.segments, s)
	l.mu.Unlock()
	return s, nil
}

// load applies the records of a segment and cuts a torn tail off the last one.
func (s *segment) load(last bool, apply func(*Record, place)) error {
	end, err := s.scan(apply)
	if err != nil {
		return err
	}
	length, err := s.file.Seek(0, io.SeekEnd)
	if err != nil {
		return fmt.Errorf("read segment: %w", err)
	}
	if end < length {
		if !last {
			return fmt.Errorf("segment %s is damaged at byte %d", s.file.Name(), end)
		}
		if err := s.file.Truncate(end); err != nil {
			return fmt.Errorf("cut torn tail: %w", err)
		}
	}
	s.size = end
	return nil
}

// scan passes on the records of a segment and returns the end of the last whole one.
func (s *segment) scan(pass func(*Record, place)) (int64, error) {
	r := bufio.NewReaderSize(io.NewSectionReader(s.file, 0, 1<<62), readBuffer)
	offset := int64(0)
	var payload []byte
	for {
		var ok bool
		var err error
		if payload, ok, err = next(r, payload); err != nil {
			return 0, fmt.Errorf("read %s at byte %d: %w", s.file.Name(), offset, err)
		}
		if !ok {
			return offset, nil
		}
		v, err := vm.Decode[Record](payload)
		if err != nil {
			return 0, fmt.Errorf("segment %s at byte %d: %w", s.file.Name(), offset, err)
		}
		n := headerBytes + len(payload)
		pass(&v, place{segment: s.number, offset: offset, bytes: n})
		offset += int64(n)
	}
}

// next reads the payload of the next record into a buffer; it reports false at the end and where the rest is no whole record.
func next(r io.Reader, buffer []byte) (payload []byte, ok bool, err error) {
	var h [headerBytes]byte
	if _, err := io.ReadFull(r, h[:]); err != nil {
		return buffer, false, endOf(err)
	}
	size := int(binary.BigEndian.Uint32(h[:]))
	if size == 0 || size > maxRecord {
		return buffer, false, nil
	}
	// The buffer grows with what is read: the size may be a torn one.
	b := bytes.NewBuffer(buffer[:0])
	if _, err := io.CopyN(b, r, int64(size)); err != nil {
		return buffer, false, endOf(err)
	}
	payload = b.Bytes()
	return payload, crc32.Checksum(payload, checksums) == binary.BigEndian.Uint32(h[4:]), nil
}

// endOf is nil for the end of a file.
func endOf(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return nil
	}
	return err
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

func (l *diskLog) last() *segment {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.segments[len(l.segments)-1]
}

// append writes records, syncs them and returns their places.
func (l *diskLog) append(list []*Record) ([]place, error) {
	s := l.last()
	places := make([]place, len(list))
	l.buffer.Reset()
	for i, r := range list {
		payload, err := vm.Encode(r)
		if err != nil {
			return nil, err
		}
		var h [headerBytes]byte
		binary.BigEndian.PutUint32(h[:], uint32(len(payload)))
		binary.BigEndian.PutUint32(h[4:], crc32.Checksum(payload, checksums))
		places[i] = place{segment: s.number, offset: s.size + int64(l.buffer.Len()), bytes: headerBytes + len(payload)}
		l.buffer.Write(h[:])
		l.buffer.Write(payload)
	}
	n, err := s.file.WriteAt(l.buffer.Bytes(), s.size)
	if err != nil {
		// What was written behind size is overwritten by the next append.
		return nil, fmt.Errorf("write %s at byte %d: %w", s.file.Name(), s.size, err)
	}
	if err := s.file.Sync(); err != nil {
		return nil, fmt.Errorf("sync %s: %w", s.file.Name(), err)
	}
	l.mu.Lock()
	s.size += int64(n)
	l.mu.Unlock()
	return places, nil
}

// begin starts a new segment. Behind the records of the one before, a write that failed may have left something.
func (l *diskLog) begin() error {
	n := 1
	if len(l.segments) > 0 {
		s := l.last()
		if err := errors.Join(s.file.Truncate(s.size), s.file.Sync()); err != nil {
			return fmt.Errorf("end segment: %w", err)
		}
		n = s.number + 1
	}
	if _, err := l.open(n); err != nil {
		return err
	}
	return errors.Join(l.last().file.Sync(), syncFolder(l.folder))
}

// full reports whether the segment is to be followed by a new one.
func (l *diskLog) full() bool { return l.last().size >= segmentBytes }

// bytes returns the size of all segments.
func (l *diskLog) bytes() int64 {
	l.mu.RLock()
	defer l.mu.RUnlock()
	total := int64(0)
	for _, s := range l.segments {
		total += s.size
	}
	return total
}

// oldest returns the first segment, or nil if it is the one being written.
func (l *diskLog) oldest() *segment {
	l.mu.RLock()
	defer l.mu.RUnlock()
	if len(l.segments) < 2 {
		return nil
	}
	return l.segments[0]
}

// remove deletes the oldest segment.
func (l *diskLog) remove() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.segments[0]
	l.segments = l.segments[1:]
	if err := errors.Join(s.file.Close(), os.Remove(s.file.Name())); err != nil {
		return fmt.Errorf("remove segment: %w", err)
	}
	return syncFolder(l.folder)
}

// read returns the record at a place.
func (l *diskLog) read(p place) (Record, error) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	i, ok := slices.BinarySearchFunc(l.segments, p.segment, func(s *segment, n int) int { return s.number - n })
	if !ok {
		return Record{}, errRemoved
	}
	s := l.segments[i]
	payload, ok, err := next(io.NewSectionReader(s.file, p.offset, int64(p.bytes)), make([]byte, 0, p.bytes))
	if err != nil {
		return Record{}, fmt.Errorf("read %s at byte %d: %w", s.file.Name(), p.offset, err)
	}
	if !ok {
		return Record{}, fmt.Errorf("record in %s at byte %d is damaged", s.file.Name(), p.offset)
	}
	return vm.Decode[Record](payload)
}

func (l *diskLog) close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	var errs []error
	for _, s := range l.segments {
		errs = append(errs, s.file.Close())
	}
	return errors.Join(errs...)
}
