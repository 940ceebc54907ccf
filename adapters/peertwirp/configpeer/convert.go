package configpeer

import (
	"github.com/azurebarrow/azurebarrow/config"
	"github.com/azurebarrow/azurebarrow/objects"
)

func updateToWire(update config.Update) *FollowReply {
	reply := &FollowReply{Ready: update.Ready}
	for _, delta := range update.Deltas {
		message := &Delta{Kind: delta.Kind, Revision: delta.Revision, Full: delta.Full}
		for _, item := range delta.Items {
			message.Items = append(message.Items, itemToWire(item))
		}
		reply.Deltas = append(reply.Deltas, message)
	}
	return reply
}

func itemToWire(item config.Item) *Item {
	message := &Item{Object: objectToWire(item.Object)}
	if item.Accepted != nil {
		message.Accepted = objectToWire(*item.Accepted)
	}
	return message
}

func objectToWire(object objects.Object) *Object {
	return &Object{
		Name:     object.Name,
		Uid:      object.UID,
		Revision: object.Revision,
		Value:    object.Value,
		Deleted:  object.Deleted,
	}
}

func updateFromWire(reply *FollowReply) config.Update {
	update := config.Update{Ready: reply.Ready}
	for _, message := range reply.Deltas {
		delta := config.Delta{Kind: message.Kind, Revision: message.Revision, Full: message.Full}
		for _, item := range message.Items {
			delta.Items = append(delta.Items, itemFromWire(message.Kind, item))
		}
		update.Deltas = append(update.Deltas, delta)
	}
	return update
}

func itemFromWire(kind string, message *Item) config.Item {
	item := config.Item{Object: objectFromWire(kind, message.GetObject())}
	if message.Accepted != nil {
		accepted := objectFromWire(kind, message.Accepted)
		item.Accepted = &accepted
	}
	return item
}

func objectFromWire(kind string, message *Object) objects.Object {
	return objects.Object{
		Kind:     kind,
		Name:     message.GetName(),
		UID:      message.GetUid(),
		Revision: message.GetRevision(),
		Value:    message.GetValue(),
		Deleted:  message.GetDeleted(),
	}
}
