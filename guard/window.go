package guard

import "sync/atomic"

// Sizes that a connection requests for its buffers in the kernel, for each direction.
const (
	// smallestBuffer holds an ordinary request or the beginning of a longer one. Every
	// connection begins with it.
	smallestBuffer = 4 << 10
	// largestBuffer lets one connection transfer 16 MB/s over a round trip of 16 ms.
	largestBuffer = 256 << 10
	bufferGrowth  = 4
	// kernelFactor is the memory that the kernel takes at most for each requested byte. It
	// doubles the requested size to make room for its own records.
	kernelFactor = 2
)

// SocketCost is the memory that the kernel holds at most for a connection with the smallest
// buffers.
const SocketCost = 2 * kernelFactor * smallestBuffer

// BacklogCost is the memory that the kernel holds at most for a connection that was not accepted.
const BacklogCost = kernelFactor * smallestBuffer

// window decides when the buffer of one direction of a connection grows: as soon as the
// connection has transferred twice its size in one go. A client that does not send or read
// keeps the smallest buffer, whatever it lets wait.
type window struct {
	size        int64
	transferred atomic.Int64 // bytes since the last transfer in the other direction
}

// transfer records that n bytes were transferred and returns the size to which the buffer should
// grow, or zero if it should stay. Only one goroutine may transfer in a direction at a time.
func (w *window) transfer(n int) int64 {
	if w.transferred.Add(int64(n)) < 2*w.size || w.size >= largestBuffer {
		return 0
	}
	return min(w.size*bufferGrowth, largestBuffer)
}

// turn records that a transfer in the other direction has begun.
func (w *window) turn() { w.transferred.Store(0) }
