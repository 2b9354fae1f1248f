// Package settings defines the static settings of a node, which are read once from a
// JSON file when the node starts. The configuration of the classes of work, such as
// their latency targets, can change at run time and is defined in package class.
package settings
