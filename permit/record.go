package permit

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/cespare/xxhash/v2"
)

// RecordFile is the file in the data folder of a control instance that states until when its
// process may issue permits.
const RecordFile = "quota-record"

// Reading is a reading of the clocks of a machine.
type Reading struct {
	Boot   uint64        // identifies the boot of the machine; zero: not known
	Uptime time.Duration // since the boot
	Wall   time.Time
}

// entry is the content of a record. Uptime and wall time state the same time twice: the first
// does not step, and the second is known after a boot.
type entry struct {
	boot      uint64
	applied   uint64 // index of the log up to which changes of the voters are known
	until     instant
	allowance instant // end of the time within which the last allowance may have been used
}

type instant struct {
	uptime time.Duration
	wall   int64 // nanoseconds
}

func (r *Reading) after(d time.Duration) instant {
	return instant{r.Uptime + d, r.Wall.Add(d).UnixNano()}
}

// since returns a lower bound of the time from t, which an entry of a boot states, until the
// reading. After another boot it is no longer than the uptime, because the process that wrote
// the entry has ended before the boot. This holds also if the wall clock was stepped. The wall
// clock bounds the time if the data folder has been moved to another machine.
func (r *Reading) since(boot uint64, t instant) time.Duration {
	switch {
	case r.Boot == 0 || boot == 0:
		return 0
	case r.Boot == boot:
		return r.Uptime - t.uptime
	}
	return min(r.Uptime, time.Duration(r.Wall.UnixNano()-t.wall))
}

// Record keeps an entry in a file, which is written in place. It is not synchronized to the
// disk: the page cache survives the end of a process, and after a loss of power the uptime
// bounds what follows from an older entry.
type Record struct {
	file     *os.File
	earlier  entry // of the process before
	known    bool
	readings func() Reading
}

// OpenRecord opens the record in a folder. The caller has locked the folder.
func OpenRecord(folder string) (*Record, error) { return openRecord(folder, readClocks) }

func openRecord(folder string, readings func() Reading) (*Record, error) {
	f, err := os.OpenFile(filepath.Join(folder, RecordFile), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, fmt.Errorf("control.data_folder: %w", err)
	}
	r := &Record{file: f, readings: readings}
	buffer := make([]byte, entryBytes)
	if n, _ := f.ReadAt(buffer, 0); n == entryBytes {
		r.earlier, r.known = decodeEntry(buffer)
	}
	return r, nil
}

// Close closes the file.
func (r *Record) Close() error { return r.file.Close() }

// entryBytes is the size of an entry: six numbers and a checksum.
const entryBytes = 7 * 8

var errShortWrite = errors.New("the record was written in part")

func (r *Record) write(e *entry) error {
	b := make([]byte, 0, entryBytes)
	for _, v := range []uint64{e.boot, e.applied, uint64(e.until.uptime), uint64(e.until.wall), uint64(e.allowance.uptime), uint64(e.allowance.wall)} {
		b = binary.BigEndian.AppendUint64(b, v)
	}
	b = binary.BigEndian.AppendUint64(b, xxhash.Sum64(b))
	n, err := r.file.WriteAt(b, 0)
	if err == nil && n != len(b) {
		err = errShortWrite
	}
	return err
}

func decodeEntry(b []byte) (e entry, ok bool) {
	v := make([]uint64, entryBytes/8)
	for i := range v {
		v[i] = binary.BigEndian.Uint64(b[8*i:])
	}
	e = entry{v[0], v[1], instant{time.Duration(v[2]), int64(v[3])}, instant{time.Duration(v[4]), int64(v[5])}}
	return e, v[6] == xxhash.Sum64(b[:entryBytes-8])
}
