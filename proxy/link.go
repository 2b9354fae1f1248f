package proxy

import (
	"bufio"
	"crypto/tls"
	"errors"
	"math"
	"net"
	"syscall"
	"time"
)

// linkBuffer is the size of each buffer of a connection. The headers of a request
// with a small body fit into it, so that both are sent in one write.
const linkBuffer = 4 << 10

var errHeadTooLarge = errors.New("the status line and headers of the answer are too large")

// link is a connection to a server with its read and write buffers.
type link struct {
	*countedConn
	in          *bufio.Reader
	out         *bufio.Writer
	raw         syscall.RawConn // nil: the connection cannot be inspected
	readLimit   int64           // number of bytes that may still be read
	mayBeClosed bool            // the server may have closed it while it was idle in the pool
	lastUsed    time.Time       // when it was opened or last used
}

func newLink(conn net.Conn) *link {
	l := &link{countedConn: &countedConn{Conn: conn}, readLimit: math.MaxInt64, lastUsed: time.Now()}
	l.in, l.out = bufio.NewReaderSize(l, linkBuffer), bufio.NewWriterSize(l.countedConn, linkBuffer)
	if secure, ok := conn.(*tls.Conn); ok {
		conn = secure.NetConn()
	}
	if sysConn, ok := conn.(syscall.Conn); ok {
		l.raw, _ = sysConn.SyscallConn() // nil on error
	}
	return l
}

// Read reads from the connection, up to the limit set with limitReads. The bufio.Reader
// of the link calls it to fill its buffer.
func (l *link) Read(p []byte) (int, error) {
	if l.readLimit <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := l.countedConn.Read(p[:min(int64(len(p)), l.readLimit)])
	l.readLimit -= int64(n)
	return n, err
}

func (l *link) limitReads(n int64) { l.readLimit = n }

// interrupt ends a blocked Read or Write. The connection is unusable afterwards.
func (l *link) interrupt() { _ = l.SetDeadline(time.Unix(1, 0)) }

// usable reports whether an idle connection can carry a request. No goroutine reads
// from an idle connection, so its end is detected here: a connection that the server
// has closed is readable.
func (l *link) usable() bool {
	if l.in.Buffered() > 0 {
		return false // data that belongs to no request
	}
	if l.raw == nil {
		return true
	}
	empty := false
	err := l.raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && empty
}
