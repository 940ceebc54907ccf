package directory

// Draft is a configuration as it was written, before it is in force. It keeps what a Configuration merges or drops: the order of the
// entries, and those that another one hides.
type Draft struct {
	Configuration *Configuration
	Routes        []*Route
	Services      []Service
	Customers     []DraftCustomer
}

// DraftCustomer is a customer with its keys.
type DraftCustomer struct {
	Customer
	Keys []string
}
