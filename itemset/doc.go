// Package itemset holds a configuration that consists of named items, each with
// a version of its own: classes, services and the limits for callers.
//
// For each name the highest version wins, whether it sets or drops the item. A
// lower or equal version changes nothing, so that a change may be merged any
// number of times and in any order with others. Dropped names are remembered with
// their version. A change is valid as a whole or refused as a whole.
package itemset
