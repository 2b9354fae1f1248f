// Command trials plays the scripts of the second review: it starts the processes of the
// deploy file on loopback addresses, with stand-ins for backend servers, clients and the
// operator, and checks one rule from what these stand-ins see.
package main
