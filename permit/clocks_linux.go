package permit

import (
	"os"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/unix"
)

// readClocks reads the clocks of the machine.
func readClocks() Reading {
	r := Reading{Wall: time.Now()}
	var t unix.Timespec
	id, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
		return r
	}
	r.Boot, r.Uptime = xxhash.Sum64(id), time.Duration(t.Nano())
	return r
}
