package peer

import (
	"net"
	"time"
)

// writeTimeout bounds how long a write may wait for a peer that does not read,
// such as a frozen one; the connection ends then.
const writeTimeout = 2 * time.Second

// deadlineConn gives each write a deadline.
type deadlineConn struct{ net.Conn }

// Write implements net.Conn.
func (c deadlineConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}
