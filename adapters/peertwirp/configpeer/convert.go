package configpeer

import (
	"github.com/azurebarrow/azurebarrow/config"
	"github.com/azurebarrow/azurebarrow/objects"
)

func replyOf(update config.Update) *FollowReply {
	reply := &FollowReply{Ready: update.Ready}
	for _, delta := range update.Deltas {
		message := &Delta{Kind: delta.Kind, Revision: delta.Revision, Full: delta.Full}
		for _, item := range delta.Items {
			message.Items = append(message.Items, messageOfItem(item))
		}
		reply.Deltas = append(reply.Deltas, message)
	}
	return reply
}

func messageOfItem(item config.Item) *Item {
	message := &Item{Object: messageOfObject(item.Object)}
	if item.Accepted != nil {
		message.Accepted = messageOfObject(*item.Accepted)
	}
	return message
}

func messageOfObject(object objects.Object) *Object {
	return &Object{
		Name:     object.Name,
		Uid:      object.UID,
		Revision: object.Revision,
		Value:    object.Value,
		Deleted:  object.Deleted,
	}
}

func updateOf(reply *FollowReply) config.Update {
	update := config.Update{Ready: reply.Ready}
	for _, message := range reply.Deltas {
		delta := config.Delta{Kind: message.Kind, Revision: message.Revision, Full: message.Full}
		for _, item := range message.Items {
			delta.Items = append(delta.Items, itemOf(message.Kind, item))
		}
		update.Deltas = append(update.Deltas, delta)
	}
	return update
}

func itemOf(kind string, message *Item) config.Item {
	item := config.Item{Object: objectOf(kind, message.GetObject())}
	if message.Accepted != nil {
		accepted := objectOf(kind, message.Accepted)
		item.Accepted = &accepted
	}
	return item
}

func objectOf(kind string, message *Object) objects.Object {
	return objects.Object{
		Kind:     kind,
		Name:     message.GetName(),
		UID:      message.GetUid(),
		Revision: message.GetRevision(),
		Value:    message.GetValue(),
		Deleted:  message.GetDeleted(),
	}
}
