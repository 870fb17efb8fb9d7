package topo

// VMChange is a VM that joined, started to leave or left.
type VMChange struct {
	VM    VM
	State VMState
}

// VMState is the new state of a VM in a VMChange.
type VMState string

// States of a VM in the list.
const (
	VMJoined  VMState = "joined"
	VMLeaving VMState = "leaving"
	VMLeft    VMState = "left"
)

// Changes returns the VMs that joined, started to leave or left between two snapshots of the
// list of VMs. It returns the changes of VMs in after, in the order of after, and then the
// VMs that left, in the order of before. A VM that joins as leaving is returned as leaving.
func Changes(before, after []VM) []VMChange {
	old := make(map[string]VM, len(before))
	for _, vm := range before {
		old[vm.ID] = vm
	}
	var out []VMChange
	for _, vm := range after {
		former, known := old[vm.ID]
		delete(old, vm.ID)
		switch {
		case vm.Leaving && !former.Leaving:
			out = append(out, VMChange{VM: vm, State: VMLeaving})
		case !known:
			out = append(out, VMChange{VM: vm, State: VMJoined})
		}
	}
	for _, vm := range before {
		if _, gone := old[vm.ID]; gone {
			out = append(out, VMChange{VM: vm, State: VMLeft})
		}
	}
	return out
}

// Superseded returns the VMs of a list at whose addresses others have joined. Only one process has an address:
// those that were there before have ended, though their entries still exist.
func Superseded(changes []VMChange, after []VM) []VM {
	joined := make(map[string]string) // id by address
	for _, c := range changes {
		if c.State == VMJoined {
			joined[c.VM.Addr] = c.VM.ID
		}
	}
	if len(joined) == 0 {
		return nil
	}
	var out []VM
	for _, vm := range after {
		if id, taken := joined[vm.Addr]; taken && id != vm.ID {
			out = append(out, vm)
		}
	}
	return out
}
