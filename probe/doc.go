// Package probe keeps the cost of measuring a backend server within the budget
// that operators set.
//
// The node beside the backend server owns the Budget and asks it before every
// probe of the server and before it spends network bytes on measuring. Since
// only that node probes its server, the budget holds for the whole fleet.
package probe
