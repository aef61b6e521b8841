package scale

// Parts returns all parts in the order in which they are measured.
func Parts() []Part {
	return []Part{
		nodeList(),
		quota(),
		ListState(),
		ListRenewals(),
		ListService(),
		ListExpiry(),
		ListLostReplica(),
		RestartFleet(),
		RestartRack(),
	}
}
