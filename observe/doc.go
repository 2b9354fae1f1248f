// Package observe measures running nodes from outside.
//
// A manifest lists the nodes. MeasureCost reads the processor time and memory of each
// node from /proc and its control traffic from its metrics. ReadSpread derives from
// the logs how long configuration changes took to be in force on every node.
package observe
