// Package settings holds the static settings of a node: a JSON file that is
// read once at start. Targets of classes are dynamic and live in package class.
package settings
