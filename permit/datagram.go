package permit

import (
	"github.com/fxamacker/cbor/v2"

	"bramleymill/quota"
)

// The first byte of a datagram about permits. It distinguishes them from other datagrams of the
// product, which are CBOR maps and begin with a byte from 0xa0 to 0xbf.
const (
	typeRequest = 0x02
	typeReply   = 0x03
)

// Datagrams sends small messages that may be lost or arrive twice.
type Datagrams interface {
	SendDatagram(address string, payload []byte) error
}

// IsDatagram reports whether a datagram is about permits.
func IsDatagram(payload []byte) bool {
	return len(payload) > 0 && (payload[0] == typeRequest || payload[0] == typeReply)
}

// SendRequest sends a request as a datagram. It counts as lost if it cannot be sent.
func SendRequest(d Datagrams, address string, r *quota.Request) { send(d, address, typeRequest, r) }

func send(d Datagrams, address string, messageType byte, message any) {
	b, err := cbor.Marshal(message)
	if err != nil {
		return
	}
	_ = d.SendDatagram(address, append([]byte{messageType}, b...))
}

// HandleDatagram handles a datagram for which IsDatagram is true. A request is answered to the
// address that it came from; i is nil at a node that is no control instance. Malformed datagrams
// are dropped.
func HandleDatagram(d Datagrams, c *Client, i *Issuer, from string, payload []byte) {
	switch payload[0] {
	case typeRequest:
		var r quota.Request
		if i == nil || cbor.Unmarshal(payload[1:], &r) != nil {
			return
		}
		if reply := i.Handle(&r); reply != nil {
			send(d, from, typeReply, reply)
		}
	case typeReply:
		var r quota.Reply
		if cbor.Unmarshal(payload[1:], &r) == nil {
			c.Receive(&r)
		}
	}
}
