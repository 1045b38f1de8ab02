#include "testbed/group_net.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/local/stream_protocol.hpp>
#include <boost/asio/write.hpp>
#include <filesystem>
#include <fstream>

namespace balancer::testbed {
namespace {

using boost::system::error_code;
using tcp = asio::ip::tcp;

constexpr std::uint32_t kAs = 64512;

}  // namespace

GroupNet::GroupNet(Context& context, const std::string& folder, int instances, int voters,
                   std::uint64_t seed)
    : context_(context),
      folder_(std::filesystem::absolute(folder).string()),
      instances_(instances),
      voters_(voters),
      router_(context.io, kAs, [this] { return context_.now(); }),
      port_(context.loopback.next_port()) {
  for (int i = 0; i < instances; ++i) {
    members_.emplace_back(context.loopback.address(i), context.loopback.next_port());
    const std::string instance_folder = folder_ + "/" + name_of(i);
    std::filesystem::remove_all(instance_folder);
    std::filesystem::create_directories(instance_folder);
  }
  relay_ = std::make_unique<DatagramRelay>(context.io, members_, seed);
  service_ = {asio::ip::make_address("127.0.0.1"), router_.forward(prefix_, port_)};
  Random random(seed, 31);
  std::ofstream key(folder_ + "/group.key");
  for (int i = 0; i < 64; ++i) key << "0123456789abcdef"[random.below(16)];
  key << "\n";
}

std::string GroupNet::ip_of(int instance) const {
  return asio::ip::address_v4(address_of(instance)).to_string();
}

std::string GroupNet::listen(int instance) const {
  return ip_of(instance) + ":" + std::to_string(port_);
}

tcp::endpoint GroupNet::direct_endpoint(int instance) const {
  return {asio::ip::make_address(ip_of(instance)), port_};
}

std::string GroupNet::status_socket(int instance) const {
  return folder_ + "/" + name_of(instance) + "/" + name_of(instance) + ".sock";
}

std::string GroupNet::config_tables(int instance) const {
  const auto me = static_cast<std::size_t>(instance);
  std::string text = "[group]\nname = \"" + name_of(instance) + "\"\nlisten = \"" +
                     members_[me].address().to_string() + ":" +
                     std::to_string(members_[me].port()) + "\"\nannounce = \"" +
                     relay_->public_address(me) + "\"\nseeds = [";
  for (int i = 0; i < instances_; ++i)
    if (i != instance) text += "\"" + relay_->public_address(static_cast<std::size_t>(i)) + "\", ";
  text += "]\nnetworks = [\"127.0.0.0/8\"]\nkey_file = \"" + folder_ + "/group.key\"\nfolder = \"" +
          folder_ + "/" + name_of(instance) + "\"\nvoters = [";
  for (int i = 0; i < voters_; ++i) text += "\"" + name_of(i) + "\", ";
  text += "]\noverlap_ms = " +
          std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(kOverlap).count()) +
          "\n[[address]]\nname = \"" + std::string(kService) + "\"\nprefix = \"" +
          asio::ip::address_v4(prefix_.address).to_string() + "\"\n";
  text += "[bgp]\nas = " + std::to_string(kAs) + "\nid = \"" + ip_of(instance) +
          "\"\nnext_hop = \"" + ip_of(instance) + "\"\nsource = \"" + ip_of(instance) +
          "\"\nhold_s = 3\nretry_ms = 100\nlongest_retry_ms = 1000\n[[bgp.router]]\naddress = \"" +
          router_.address() + "\"\nas = " + std::to_string(kAs) + "\n";
  return text;
}

int GroupNet::owner() const {
  const auto next_hop = router_.owner(prefix_);
  return next_hop == 0 ? -1 : static_cast<int>(next_hop - address_of(0));
}

std::size_t GroupNet::routes() const {
  const auto* all = router_.routes(prefix_);
  return all ? all->size() : 0;
}

void GroupNet::cut_from_router(int instance, bool on) { router_.cut(address_of(instance), on); }

bool GroupNet::send_command(int instance, const std::string& line) {
  asio::local::stream_protocol::socket socket(context_.io);
  error_code error;
  socket.connect(asio::local::stream_protocol::endpoint(status_socket(instance)), error);
  if (!error) asio::write(socket, asio::buffer(line + "\n"), error);
  return !error;
}

}  // namespace balancer::testbed
