package ledger

import (
	"bufio"
	"bytes"
	"cmp"
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
	"time"

	"chestnutcleat.example/chestnutcleat/vm"
)

const (
	// headerBytes is the size of a record's header: length and checksum, 4 bytes each.
	headerBytes = 8
	// segmentBytes is the size at which a new segment is started.
	segmentBytes = 8 << 20
	// maxRecordBytes bounds one record; inputs and outputs are at most a few megabytes.
	maxRecordBytes = 32 << 20
	// readBufferBytes is the buffer size for scanning a whole segment.
	readBufferBytes = 256 << 10
	segmentSuffix   = ".log"
)

var crcTable = crc32.MakeTable(crc32.Castagnoli)

// errRemoved is returned when a record's segment was removed after its location was looked up.
var errRemoved = errors.New("log segment was removed")

// location is the position of a record in the log.
type location struct {
	segment int
	offset  int64
	// bytes is the size of the record including its header.
	bytes int
}

// segment is one file of the log.
type segment struct {
	number int
	file   *os.File
	size   int64
	// unreadable is the number of whole records that the last scan could not decode, and scanErr the error of the first one.
	unreadable int
	scanErr    error
}

// diskLog is an append-only log split into segments. Only the last segment may end in a partially written record.
// It supports one writer and several concurrent readers.
type diskLog struct {
	folder string
	buffer bytes.Buffer
	// sync makes what was written to a segment or the folder durable; tests replace it.
	sync func(*os.File) error
	// syncTime is how long the last sync of append took.
	syncTime time.Duration

	mu sync.RWMutex
	// segments are sorted by number; the last one is the active one, to which records are appended.
	segments []*segment
}

// openLog applies the records of all segments and opens the last segment for appending.
func openLog(folder string, apply func(*Record, location)) (*diskLog, error) {
	numbers, err := segmentNumbers(folder)
	if err != nil {
		return nil, err
	}
	l := &diskLog{folder: folder, sync: (*os.File).Sync}
	for i, n := range numbers {
		s, err := l.openSegment(n)
		if err != nil {
			return nil, err
		}
		if err := s.load(i == len(numbers)-1, apply); err != nil {
			return nil, err
		}
	}
	if len(numbers) == 0 {
		return l, l.startSegment()
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
			return nil, fmt.Errorf("file %s in %s is not a log segment", e.Name(), folder)
		}
		numbers = append(numbers, n)
	}
	slices.Sort(numbers)
	return numbers, nil
}

func segmentPath(folder string, n int) string {
	return filepath.Join(folder, fmt.Sprintf("%08d%s", n, segmentSuffix))
}

// openSegment opens a segment, creating it if necessary, and makes it the active one.
func (l *diskLog) openSegment(n int) (*segment, error) {
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

// load applies the records of a segment and truncates a partially written record at the end of the last one.
func (s *segment) load(last bool, apply func(*Record, location)) error {
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
			return fmt.Errorf("truncate partial record: %w", err)
		}
	}
	s.size = end
	return nil
}

// scan visits the records of a segment and returns the offset after the last complete one. It leaves out a record whose checksum is
// right but that can't be decoded: it was written so on every replica, and its error would end the process at each start.
func (s *segment) scan(visit func(*Record, location)) (int64, error) {
	s.unreadable, s.scanErr = 0, nil
	r := bufio.NewReaderSize(io.NewSectionReader(s.file, 0, 1<<62), readBufferBytes)
	offset := int64(0)
	var payload []byte
	for {
		var ok bool
		var err error
		if payload, ok, err = readRecord(r, payload); err != nil {
			return 0, fmt.Errorf("read %s at byte %d: %w", s.file.Name(), offset, err)
		}
		if !ok {
			return offset, nil
		}
		n := headerBytes + len(payload)
		if v, err := vm.Decode[Record](payload); err == nil {
			visit(&v, location{segment: s.number, offset: offset, bytes: n})
		} else {
			s.unreadable++
			s.scanErr = cmp.Or(s.scanErr, fmt.Errorf("segment %s at byte %d: %w", s.file.Name(), offset, err))
		}
		offset += int64(n)
	}
}

// readRecord reads the next payload into a buffer. ok is false at the end of the file and if what follows is not a complete record.
func readRecord(r io.Reader, buffer []byte) (payload []byte, ok bool, err error) {
	var h [headerBytes]byte
	if _, err := io.ReadFull(r, h[:]); err != nil {
		return buffer, false, ignoreEOF(err)
	}
	size := int(binary.BigEndian.Uint32(h[:]))
	if size == 0 || size > maxRecordBytes {
		return buffer, false, nil
	}
	// The size may be corrupt, so the buffer grows with the data read instead of being allocated up front.
	b := bytes.NewBuffer(buffer[:0])
	if _, err := io.CopyN(b, r, int64(size)); err != nil {
		return buffer, false, ignoreEOF(err)
	}
	payload = b.Bytes()
	return payload, crc32.Checksum(payload, crcTable) == binary.BigEndian.Uint32(h[4:]), nil
}

// ignoreEOF returns nil if err means that the file has ended.
func ignoreEOF(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return nil
	}
	return err
}

// syncFolder makes the names of the files in a folder durable.
func syncFolder(folder string, sync func(*os.File) error) error {
	d, err := os.Open(folder)
	if err != nil {
		return fmt.Errorf("sync folder: %w", err)
	}
	if err := errors.Join(sync(d), d.Close()); err != nil {
		return fmt.Errorf("sync folder: %w", err)
	}
	return nil
}

func (l *diskLog) active() *segment {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.segments[len(l.segments)-1]
}

// append writes records to the active segment, syncs it and returns their locations.
func (l *diskLog) append(list []*Record) ([]location, error) {
	s := l.active()
	locations := make([]location, len(list))
	l.buffer.Reset()
	for i, r := range list {
		payload, err := vm.Encode(r)
		if err != nil {
			return nil, err
		}
		var h [headerBytes]byte
		binary.BigEndian.PutUint32(h[:], uint32(len(payload)))
		binary.BigEndian.PutUint32(h[4:], crc32.Checksum(payload, crcTable))
		locations[i] = location{segment: s.number, offset: s.size + int64(l.buffer.Len()), bytes: headerBytes + len(payload)}
		l.buffer.Write(h[:])
		l.buffer.Write(payload)
	}
	n, err := s.file.WriteAt(l.buffer.Bytes(), s.size)
	if err != nil {
		// s.size is unchanged, so the next append overwrites the partial write.
		return nil, fmt.Errorf("write %s at byte %d: %w", s.file.Name(), s.size, err)
	}
	start := time.Now()
	err = l.sync(s.file)
	l.syncTime = time.Since(start)
	if err != nil {
		return nil, fmt.Errorf("sync %s: %w", s.file.Name(), err)
	}
	l.mu.Lock()
	s.size += int64(n)
	l.mu.Unlock()
	return locations, nil
}

// startSegment starts a new segment. It first truncates the active one, as a failed write may have left data after its last record.
func (l *diskLog) startSegment() error {
	n := 1
	if len(l.segments) > 0 {
		s := l.active()
		if err := errors.Join(s.file.Truncate(s.size), s.file.Sync()); err != nil {
			return fmt.Errorf("close segment: %w", err)
		}
		n = s.number + 1
	}
	if _, err := l.openSegment(n); err != nil {
		return err
	}
	return errors.Join(l.active().file.Sync(), syncFolder(l.folder, l.sync))
}

// activeFull reports whether the active segment has reached segmentBytes.
func (l *diskLog) activeFull() bool { return l.active().size >= segmentBytes }

// bytes returns the total size of all segments.
func (l *diskLog) bytes() int64 {
	l.mu.RLock()
	defer l.mu.RUnlock()
	total := int64(0)
	for _, s := range l.segments {
		total += s.size
	}
	return total
}

// unreadable returns the number of records that could not be decoded when the log was opened, and the error of one.
func (l *diskLog) unreadable() (n int, err error) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	for _, s := range l.segments {
		n += s.unreadable
		err = cmp.Or(err, s.scanErr)
	}
	return n, err
}

// oldest returns the first segment, or nil if that is the active one.
func (l *diskLog) oldest() *segment {
	l.mu.RLock()
	defer l.mu.RUnlock()
	if len(l.segments) < 2 {
		return nil
	}
	return l.segments[0]
}

// removeOldest deletes the oldest segment. Readers don't wait for the disk: once the segment is not listed, none uses it.
func (l *diskLog) removeOldest() error {
	l.mu.Lock()
	s := l.segments[0]
	l.segments = l.segments[1:]
	l.mu.Unlock()
	if err := errors.Join(s.file.Close(), os.Remove(s.file.Name())); err != nil {
		return fmt.Errorf("remove segment: %w", err)
	}
	return syncFolder(l.folder, l.sync)
}

// read returns the record at a location.
func (l *diskLog) read(loc location) (Record, error) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	i, ok := slices.BinarySearchFunc(l.segments, loc.segment, func(s *segment, n int) int { return s.number - n })
	if !ok {
		return Record{}, errRemoved
	}
	s := l.segments[i]
	payload, ok, err := readRecord(io.NewSectionReader(s.file, loc.offset, int64(loc.bytes)), make([]byte, 0, loc.bytes))
	if err != nil {
		return Record{}, fmt.Errorf("read %s at byte %d: %w", s.file.Name(), loc.offset, err)
	}
	if !ok {
		return Record{}, fmt.Errorf("record in %s at byte %d is damaged", s.file.Name(), loc.offset)
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
