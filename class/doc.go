// Package class defines the dynamic configuration that operators write: classes of
// work with their latency targets and limits. A Document is its JSON form. A Set is the
// validated, immutable form against which requests are matched.
//
// A Document contains no weights and no addresses, because the fleet chooses the
// servers. A document with such fields is refused.
package class
