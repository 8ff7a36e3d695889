package peer

import (
	"slices"
	"time"

	"github.com/snowspoke/snowspoke/store"
)

// OnVMs sets the callback for newer VM lists. It must be called before Run.
func (n *Node) OnVMs(fn func([]store.VM)) { n.onVMs = fn }

// PublishVMs applies and broadcasts a VM list that this daemon read, if it differs
// from the list that this daemon read before. A list that differs only from the
// lists of other daemons is ignored, because it may be older than theirs.
func (n *Node) PublishVMs(vms []store.VM) {
	n.mu.Lock()
	same := n.polled != nil && slices.Equal(n.polled, vms)
	n.polled = vms
	n.mu.Unlock()
	if !same {
		n.applyVMs(VMList{ReadAt: time.Now().UnixMilli(), VMs: vms}, "")
	}
}

// applyVMs applies and forwards a list if it is newer than the known one.
func (n *Node) applyVMs(l VMList, from string) {
	n.mu.Lock()
	newer := l.ReadAt > n.vms.ReadAt
	if newer {
		n.vms = l
	}
	n.mu.Unlock()
	if !newer {
		return
	}
	if n.onVMs != nil {
		n.onVMs(l.VMs)
	}
	n.broadcast(&Frame{VMs: &l}, from)
}
