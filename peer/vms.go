package peer

import (
	"slices"
	"time"

	"github.com/snowspoke/snowspoke/store"
)

// OnVMs sets what is called with each newer VM list. It must be called before
// Run.
func (n *Node) OnVMs(fn func([]store.VM)) { n.onVMs = fn }

// PublishVMs takes the VM list as this daemon read it and passes it on if it
// changed since its own last read. A list that only differs from what others
// read may lag behind theirs, and is kept back.
func (n *Node) PublishVMs(vms []store.VM) {
	n.mu.Lock()
	same := n.polled != nil && slices.Equal(n.polled, vms)
	n.polled = vms
	n.mu.Unlock()
	if !same {
		n.takeVMs(VMList{ReadAt: time.Now().UnixMilli(), VMs: vms}, "")
	}
}

// takeVMs puts a newer list into use and passes it on.
func (n *Node) takeVMs(l VMList, from string) {
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
