// Package itemset implements a configuration that consists of named items, each with
// its own version: classes, services, customers and the limits for callers.
//
// For each name the item with the highest version wins, whether that version sets or
// removes the item. An equal or lower version changes nothing, so a change may be merged
// any number of times and in any order relative to other changes. Removed items stay
// in the set with their version, so that an older change cannot restore them. A change
// is either accepted or refused as a whole.
package itemset
