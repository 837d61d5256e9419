package tablestore

// Row is one row of the table service.
type Row struct {
	Key string `json:"key"`
	// Version rises by one with each write; 0 stands for an absent row.
	Version uint64 `json:"version"`
	Value   []byte `json:"value,omitempty"`
}

// Condition is a version that a row must have for a transaction to commit.
type Condition struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Put is one write of a transaction.
type Put struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// Txn is a conditional transaction over several rows.
type Txn struct {
	Conditions []Condition `json:"conditions"`
	Puts       []Put       `json:"puts"`
}

// ConflictError says which rows kept a transaction from committing.
type ConflictError struct {
	Rows []Row `json:"rows"`
}

// Error names the first conflicting row.
func (e *ConflictError) Error() string {
	if len(e.Rows) == 0 {
		return "conflict"
	}
	return "conflict on row " + e.Rows[0].Key
}
