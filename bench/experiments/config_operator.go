package experiments

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/azurebarrow/azurebarrow/adapters/platformhttp"
	v1 "github.com/azurebarrow/azurebarrow/api/v1"
	"github.com/azurebarrow/azurebarrow/config"
	"github.com/azurebarrow/azurebarrow/objects"
)

const (
	operatedCustomers = 10
	operatorRetry     = 50 * time.Millisecond
)

// operator changes customers by conditional updates and knows what was acknowledged.
type operator struct {
	client *platformhttp.Client
	random *rand.Rand
	// wanted is the serial of the last change of each customer.
	wanted map[string]int
}

// configChange is one acknowledged change.
type configChange struct {
	name string
	// serial counts the changes; the customer's concurrency carries it.
	serial int
	at     time.Time
}

func newOperator(url string, seed int64) *operator {
	return &operator{
		client: platformhttp.New(url, platformhttp.Options{}),
		random: rand.New(rand.NewPCG(uint64(seed), 6)),
		wanted: map[string]int{},
	}
}

func operatedName(i int) string { return fmt.Sprintf("operated-%d", i) }

// create makes the customers that are to be changed.
func (o *operator) create(ctx context.Context) error {
	for i := range operatedCustomers {
		if err := o.set(ctx, operatedName(i), 0); err != nil {
			return err
		}
	}
	return nil
}

// change makes the given number of changes, one after the other.
func (o *operator) change(ctx context.Context, count int, interval time.Duration) []configChange {
	var changes []configChange
	for serial := 1; serial <= count; serial++ {
		name := operatedName(o.random.IntN(operatedCustomers))
		if err := o.set(ctx, name, serial); err != nil {
			return changes // ctx ended
		}
		o.wanted[name] = serial
		changes = append(changes, configChange{name: name, serial: serial, at: time.Now()})
		time.Sleep(interval)
	}
	return changes
}

// set writes a customer until the platform acknowledges it; after a lost answer it reads back.
func (o *operator) set(ctx context.Context, name string, serial int) error {
	for ctx.Err() == nil {
		present, err := o.client.Get(ctx, v1.KindCustomer, name)
		if err != nil && !errors.Is(err, objects.ErrNotFound) {
			time.Sleep(operatorRetry)
			continue
		}
		if err == nil && serialOf(present.Value) == serial {
			return nil // an earlier try took effect
		}
		_, err = o.client.Put(ctx, v1.KindCustomer, name, present.Revision, customerValue(name, serial, present.Value))
		if err == nil {
			return nil
		}
		time.Sleep(operatorRetry)
	}
	return ctx.Err()
}

// customerValue returns the customer with the serial; the status that was read is kept.
func customerValue(name string, serial int, former json.RawMessage) []byte {
	var customer v1.Customer
	_ = json.Unmarshal(former, &customer) // absent at first
	customer.TypeMeta = v1.TypeMeta{APIVersion: v1.APIVersion, Kind: v1.KindCustomer}
	customer.Metadata = v1.Metadata{Name: name, Generation: customer.Metadata.Generation + 1}
	customer.Spec = v1.CustomerSpec{APIKeyHashes: []string{config.HashAPIKey(name)}, Concurrency: serial}
	value, err := json.Marshal(customer)
	if err != nil {
		panic(err) // cannot happen: the type holds only text and numbers
	}
	return value
}

// serialOf returns the serial that a stored customer carries, -1 when it can't be read.
func serialOf(value json.RawMessage) int {
	var customer v1.Customer
	if json.Unmarshal(value, &customer) != nil {
		return -1
	}
	return customer.Spec.Concurrency
}
