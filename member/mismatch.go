// SPDX-License-Identifier: Apache-2.0

package member

import "sync"

// viewMismatches decides which peers are answered with the full view. While an update spreads with the heartbeats,
// views differ briefly on every daemon. Answering each of those exchanges with all 195 members cost 14,000 replies
// of 14 KB within 30 s during an incident.
type viewMismatches struct {
	mu     sync.Mutex
	latest map[string]viewMismatch // by peer name; present if the views differed at the latest exchange
}

type viewMismatch struct{ remote, local viewSummary }

// record records an exchange with a peer and reports whether the peer needs the full view. before is the peer's
// earlier entry in the table, from its entry in the heartbeat. A peer whose view differs needs the full view if
//   - it is new or was not alive here, or has restarted;
//   - the views differ by more than maxUpdates members, or the peer runs an older version that sends no count;
//   - both views are the same as at the latest exchange, so that incremental updates do not resolve the difference.
func (d *viewMismatches) record(before, from Member, remote, local viewSummary) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if remote.digest == local.digest {
		delete(d.latest, from.name)
		return false
	}
	if d.latest == nil {
		d.latest = make(map[string]viewMismatch)
	}
	current := viewMismatch{remote: remote, local: local}
	persistent := d.latest[from.name] == current
	d.latest[from.name] = current
	difference := remote.liveCount - local.liveCount
	return persistent || before.state != Alive || before.incarnation != from.incarnation ||
		remote.liveCount == 0 || difference > maxUpdates || difference < -maxUpdates
}
