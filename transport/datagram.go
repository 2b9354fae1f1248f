package transport

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
)

// MaxDatagramBytes bounds a datagram, so that it fits into one packet.
const MaxDatagramBytes = 1200

// datagramPrefix is the first byte of each datagram. QUIC packets have the second
// highest bit of their first byte set.
const datagramPrefix = 0x01

var errDatagramSize = errors.New("the datagram is too large")

// SendDatagram sends a message without a reply, which may be lost, to the endpoint
// at a peer address. Nothing tells its receiver who sent it, so that datagrams are
// only of use on a trusted network.
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

// ServeDatagrams passes each datagram to f until ctx ends. f must neither block nor
// keep the payload.
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
