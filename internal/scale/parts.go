package scale

// Parts returns all parts in the order in which they are measured.
func Parts() []Part {
	return []Part{
		nodeListPart(),
		quotaPart(),
		listStatePart(),
		listRenewalsPart(),
		listWatchesPart(),
		listExpiryPart(),
		listLostReplicaPart(),
		restartFleetPart(),
		restartRackPart(),
	}
}
