// Package keys creates, loads and verifies the certificates of a fleet.
//
// A fleet has one certificate authority, or two during a rotation. The authority
// signs one certificate for each process. The common name of a certificate is the
// name of the node or operator, and the organizational unit is its role. The address
// of a peer is not verified: a process with a certificate of an accepted role may
// connect from any address, because the addresses of instances change.
//
// A Store reads its files again when they change, so that a rotation of the
// certificates needs no restart. TrustNext, Reissue and DropPrevious are the steps of
// a rotation.
package keys
