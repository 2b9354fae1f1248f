package transport

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
)

// MaxDatagramBytes is the largest size of a datagram, its one-byte prefix included.
// A datagram of this size fits into one packet.
const MaxDatagramBytes = 1200

// datagramPrefix is the first byte of each datagram. It distinguishes datagrams from
// QUIC packets, whose first byte has its second highest bit set.
const datagramPrefix = 0x01

var errDatagramSize = errors.New("datagram exceeds the size limit")

// SendDatagram sends a message that has no reply and may be lost to the endpoint at
// a peer address. Datagrams do not authenticate their sender, so they are suitable
// only for a trusted network.
func (e *Endpoint) SendDatagram(address string, payload []byte) error {
	if len(payload) >= MaxDatagramBytes {
		return fmt.Errorf("%w: %d bytes", errDatagramSize, len(payload))
	}
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return err
	}
	b := make([]byte, 0, len(payload)+1)
	b = append(append(b, datagramPrefix), payload...)
	_, err = e.transport.WriteTo(b, net.UDPAddrFromAddrPort(to))
	return err
}

// ServeDatagrams calls f for each received datagram until ctx ends. f must not block
// and must not use payload after it returns.
func (e *Endpoint) ServeDatagrams(ctx context.Context, f func(from string, payload []byte)) error {
	buffer := make([]byte, MaxDatagramBytes)
	for {
		n, from, err := e.transport.ReadNonQUICPacket(ctx, buffer)
		if err != nil {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			return fmt.Errorf("receive datagrams: %w", err)
		}
		if n > 1 && buffer[0] == datagramPrefix {
			f(from.String(), buffer[1:n])
		}
	}
}
