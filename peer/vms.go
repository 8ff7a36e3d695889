package peer

import (
	"slices"
	"time"

	"github.com/snowspoke/snowspoke/store"
)

// OnVMs sets the callback for newer VM lists. It must be called before Run.
func (n *Node) OnVMs(fn func([]store.VM)) { n.onVMs = fn }

// PublishVMs takes a VM list that this daemon read, and applies and broadcasts it
// if it differs from the one that this daemon read before. A list that differs
// only from those of other daemons may be older than theirs and is ignored.
func (n *Node) PublishVMs(vms []store.VM) {
	n.mu.Lock()
	same := n.polled != nil && slices.Equal(n.polled, vms)
	n.polled = vms
	n.mu.Unlock()
	if !same {
		n.applyVMs(VMList{ReadAt: time.Now().UnixMilli(), VMs: vms}, "")
	}
}

// applyVMs applies a list if it is newer, and forwards it.
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
