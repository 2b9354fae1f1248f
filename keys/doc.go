// Package keys makes, loads and checks the certificates of a fleet.
//
// A fleet has one authority, or two during a rotation. It signs one certificate
// for each process. The common name is the name of the node or operator and the
// organisational unit is its role. The address of a peer is no part of the
// check: whoever holds a certificate with a sufficient role may connect from
// anywhere, because addresses of instances change.
//
// A Store re-reads its files when they change, so that rotation needs no restart.
package keys
