// Package transmit schedules the answers that a node sends on the link of its machine.
//
// A backend server may finish several large answers at the same moment. If all of them were
// written at once, they would share the bandwidth: each would take as long as all together, and
// every small answer, refusal and reservation of the node would wait behind them in the queue
// of the link. Scheduler therefore sends large answers one after the other at the rate of the
// link, and lets everything else pass.
//
// Scheduler and Estimate do no I/O. Link applies them to writers.
package transmit
