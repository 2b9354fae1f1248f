package guard

import (
	"io"
	"net"
	"time"
)

// lingerTime is the time for which a connection that was closed with unread requests is read.
// Closing it at once resets the connection and destroys what the client has not received of the
// last answer.
const lingerTime = 2 * time.Second

// lingerBytes bounds what is read of such a connection.
const lingerBytes = 1 << 20

// linger ends the sending direction and reads what the client still sends, so that the client
// receives the whole answer.
func (c *Conn) linger(t *net.TCPConn) {
	_ = t.CloseWrite() // a broken connection ends the reading
	_ = t.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.CopyN(io.Discard, t, lingerBytes)
	c.release(nil)
	_ = c.Conn.Close()
}

// reset makes Close reset the connection. An answer to a client of HTTP/1.0 may end with its
// connection, so one that breaks off would otherwise look complete.
func (c *Conn) reset() {
	if t := tcpConn(c.Conn); t != nil {
		_ = t.SetLinger(0) // fails on a broken connection
		c.lingers.Store(true)
	}
}
