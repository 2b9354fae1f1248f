package faultlink

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"time"
)

// maxDatagram is the largest payload of a UDP datagram.
const maxDatagram = 64 << 10

// Link forwards the UDP and TCP traffic of one node and injects faults into it.
type Link struct {
	target     string
	udp        net.PacketConn
	tcp        net.Listener
	faults     *datagramFaults
	streams    *streamFaults
	mu         sync.Mutex
	sessions   map[string]*net.UDPConn // by source address of the sender
	conns      map[net.Conn]struct{}
	closed     bool
	goroutines sync.WaitGroup
}

// Open listens on address for UDP and TCP and forwards the traffic to target. The seed
// determines which datagrams are affected by faults.
func Open(address, target string, seed uint64) (*Link, error) {
	tcp, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("open link: %w", err)
	}
	udp, err := net.ListenPacket("udp", tcp.Addr().String())
	if err != nil {
		return nil, errors.Join(fmt.Errorf("open link: %w", err), tcp.Close())
	}
	l := &Link{target: target, udp: udp, tcp: tcp, faults: newDatagramFaults(seed), streams: newStreamFaults(),
		sessions: map[string]*net.UDPConn{}, conns: map[net.Conn]struct{}{}}
	l.goroutines.Go(l.relayForward)
	l.goroutines.Go(l.accept)
	return l, nil
}

// Address returns the address that the link listens on.
func (l *Link) Address() string { return l.tcp.Addr().String() }

// SetFaults replaces the faults of datagrams from source in a direction. An empty source
// stands for all senders whose faults are not set separately. If source is empty,
// dropping all datagrams also closes all TCP connections of the link and refuses new ones.
func (l *Link) SetFaults(source string, d Direction, f Faults) {
	l.faults.set(source, d, f)
	if source == "" && f.Drop >= 1 {
		l.closeConnections()
	}
}

// Heal removes all faults and delivers the data of stalled connections.
func (l *Link) Heal() {
	l.faults.clear()
	l.streams.set(func() { l.streams.held, l.streams.delay = [2]bool{}, 0 })
}

// Close closes the link and all its connections and waits until its goroutines end.
func (l *Link) Close() error {
	l.mu.Lock()
	l.closed = true
	for _, s := range l.sessions {
		s.Close()
	}
	l.mu.Unlock()
	l.streams.set(func() { l.streams.closed = true })
	l.closeConnections()
	err := errors.Join(l.udp.Close(), l.tcp.Close())
	l.goroutines.Wait()
	return err
}

func (l *Link) relayForward() {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := l.udp.ReadFrom(buffer)
		if err != nil {
			return
		}
		s, err := l.session(from)
		if err != nil {
			continue
		}
		l.deliver(from.String(), Forward, buffer[:n], func(b []byte) { s.Write(b) })
	}
}

// session returns the socket that exchanges the datagrams of one sender with the node. It
// opens the socket for the first datagram of the sender.
func (l *Link) session(from net.Addr) (*net.UDPConn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s, ok := l.sessions[from.String()]; ok {
		return s, nil
	}
	if l.closed {
		return nil, net.ErrClosed
	}
	to, err := net.ResolveUDPAddr("udp", l.target)
	if err != nil {
		return nil, err
	}
	s, err := net.DialUDP("udp", nil, to)
	if err != nil {
		return nil, err
	}
	l.sessions[from.String()] = s
	l.goroutines.Go(func() { l.relayBackward(s, from) })
	return s, nil
}

// relayBackward forwards the datagrams of the node to a sender until the session is
// closed. It ignores other read errors, such as a refused port while the node restarts.
func (l *Link) relayBackward(s *net.UDPConn, to net.Addr) {
	buffer := make([]byte, maxDatagram)
	for {
		n, err := s.Read(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		l.deliver(to.String(), Backward, buffer[:n], func(b []byte) { l.udp.WriteTo(b, to) })
	}
}

// deliver passes a datagram to send with the faults of its source and direction. send is
// called once for each copy that is not dropped.
func (l *Link) deliver(source string, d Direction, b []byte, send func([]byte)) {
	if l.streams.isHeld(d) {
		return
	}
	for _, delay := range l.faults.copyDelays(source, d) {
		if delay == 0 {
			send(b)
			continue
		}
		delayed := append([]byte(nil), b...)
		time.AfterFunc(delay, func() { send(delayed) })
	}
}
