package node

import "sync"

// maxVersions is the number of revisions that a versionLog stores. Nodes that have
// applied an older revision are listed with version 0.
const maxVersions = 1024

// versionLog translates the configuration revision that a node has applied into the
// versions of the class document and of the operator orders (drains and releases).
type versionLog struct {
	mu         sync.Mutex
	byRevision map[uint64]versions
	revisions  []uint64 // keys of byRevision in the order of their insertion
}

// versions holds the version of the class document and that of the operator orders.
type versions struct{ document, orders uint64 }

func newVersionLog() *versionLog { return &versionLog{byRevision: map[uint64]versions{}} }

func (l *versionLog) add(revision, documentVersion, ordersVersion uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.byRevision[revision]; ok {
		return
	}
	l.byRevision[revision] = versions{documentVersion, ordersVersion}
	l.revisions = append(l.revisions, revision)
	if len(l.revisions) > maxVersions {
		delete(l.byRevision, l.revisions[0])
		l.revisions = l.revisions[1:]
	}
}

func (l *versionLog) lookup(revision uint64) versions {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.byRevision[revision]
}
