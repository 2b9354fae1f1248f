package raft

// FoundingState returns the state in which each founding voter of a new group starts. It is the
// same for all of them but for the vote, so that any majority of them continues one log, whoever
// of them is late or lost. The entry counts as committed only after the election of a leader.
func FoundingState(clusterID uint64, voters []Member, self ID) StoredState {
	c := Configuration{ClusterID: clusterID, Voters: voters}
	return StoredState{
		HardState: HardState{Term: 1, Vote: self},
		Entries:   []Entry{{Index: 1, Term: 1, Kind: ConfigurationChange, Configuration: &c}},
	}
}
