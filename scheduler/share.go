package scheduler

// Parts of what all processes together may send that the processes other than the
// dispatcher may use, since that may be active still: the first backup, each later one half
// of the part of the one before, and all processes outside the preference list together.
const (
	firstBackupShare = 1.0 / 4
	outsidersShare   = 1.0 / 8
	// totalShare is the sum of all parts for a preference list of three processes.
	totalShare = 1.5
	// unknownProcesses is how many processes there may be where they are not known.
	unknownProcesses = 1000
)

// Share returns the part of what all processes together may send that one of them may
// use, by its position in the preference list of a pool, the length of that list and the
// number of known processes, zero if none is known. A rank beyond the list, or a list
// without processes, makes it one of the outsiders. All parts together are at most one and
// a half.
func Share(rank, listed, processes int) float64 {
	switch {
	case rank >= listed && processes == 0:
		return outsidersShare / unknownProcesses
	case rank >= listed:
		return outsidersShare / float64(processes)
	case rank == 0:
		return 1
	default:
		return firstBackupShare / float64(int(1)<<(rank-1))
	}
}
